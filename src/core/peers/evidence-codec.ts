import type { PartKey, PromptEvidence } from '../quarantine/index.ts';
import { NO_EVIDENCE } from '../quarantine/index.ts';
import type { PromptEvidence as WireEvidence } from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import { toUint32 } from './uint32.ts';

/** Encodes evidence with each part named once, as most are in several crashes; empty without any. */
export function encodeEvidence({ crashes, begins, notices }: PromptEvidence) {
  const positions = new Map<PartKey, number>();
  const toPosition = (part: PartKey): number => {
    const position = positions.get(part) ?? positions.size;
    positions.set(part, position);
    return position;
  };
  const encoded = {
    crashes: crashes.map(({ targetKey, suspects, ageMs }) => ({
      targetKey,
      suspects: suspects.map(({ customer, parts }) => ({ customer, parts: parts.map(toPosition) })),
      ageMs: toUint32(ageMs),
    })),
    begins: begins.map(({ part, ageMs }) => ({ part: toPosition(part), ageMs: toUint32(ageMs) })),
    notices: notices.map((notice) => ({
      parts: notice.parts.map(toPosition),
      customers: [...notice.customers],
      crashes: toUint32(notice.crashes),
      ageMs: toUint32(notice.ageMs),
    })),
  };
  return positions.size === 0 ? {} : { evidence: { partNames: [...positions.keys()], ...encoded } };
}

/** Decodes evidence; throws if a part has no name. */
export function decodeEvidence(evidence: WireEvidence | undefined): PromptEvidence {
  if (evidence === undefined) return NO_EVIDENCE;
  const toPart = (position: number): PartKey => {
    const part = evidence.partNames[position];
    if (part === undefined) throw new TypeError(`part ${position} of the evidence has no name`);
    return part;
  };
  return {
    crashes: evidence.crashes.map(({ targetKey, suspects, ageMs }) => ({
      targetKey,
      suspects: suspects.map(({ customer, parts }) => ({ customer, parts: parts.map(toPart) })),
      ageMs,
    })),
    begins: evidence.begins.map(({ part, ageMs }) => ({ part: toPart(part), ageMs })),
    notices: evidence.notices
      .map(({ parts, customers, crashes, ageMs }) => ({
        parts: parts.map(toPart),
        customers,
        crashes,
        ageMs,
      }))
      // A set without parts would hold for every request.
      .filter(({ parts }) => parts.length > 0),
  };
}
