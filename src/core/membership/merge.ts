import type { Member } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import type { MembershipDraft } from './draft.ts';
import { publishEntry, publishSelf } from './draft.ts';
import { compareRecords } from './records.ts';
import type { MemberEntry } from './state.ts';

/** Raises the own refutation number past a record that says something else of this daemon. */
function refuteRecord(draft: MembershipDraft, record: Member): void {
  const { self } = draft.state;
  const isSame = record.instance === self.instance && record.state === self.state;
  if (isSame || compareRecords(record, self) <= 0) return;
  const refutation = Math.max(record.refutation, self.refutation) + 1;
  publishSelf(draft, { ...self, refutation });
}

/**
 * Returns the state in which a record is taken over. Another side of a partition holds members
 * dead that are alive here, so its word alone only makes them suspect. The word of the member
 * itself counts, and so does the end of a member that said it leaves.
 */
function computeAcceptedState(
  held: MemberEntry | undefined,
  record: Member,
  sender: string,
): MemberState {
  if (record.state !== MemberState.DEAD) return record.state;
  if (held === undefined || sender === record.name) return MemberState.DEAD;
  const isExpected = held.isLeaving && held.member.instance === record.instance;
  return held.member.state === MemberState.ALIVE && !isExpected
    ? MemberState.SUSPECT
    : MemberState.DEAD;
}

/** Takes over a record of another member when it has precedence. */
function mergeRecord(draft: MembershipDraft, record: Member, sender: string): void {
  const held = draft.state.entries.get(record.name);
  // A dead member that is unknown here was forgotten on purpose or never mattered.
  if (held === undefined && record.state === MemberState.DEAD) return;
  if (held !== undefined && compareRecords(record, held.member) <= 0) return;
  const state = computeAcceptedState(held, record, sender);
  const isSameInstance = held?.member.instance === record.instance;
  const wasLeaving = isSameInstance && (held?.isLeaving ?? false);
  publishEntry(draft, {
    member: { ...record, state },
    isLeaving: wasLeaving || state === MemberState.LEAVING,
    changedMs: draft.context.nowMs,
    isOwnSuspicion: false,
  });
}

/** Merges the records of a packet. */
export function mergeRecords(
  draft: MembershipDraft,
  records: readonly Member[],
  sender: string,
): void {
  for (const record of records) {
    if (record.state === MemberState.UNSPECIFIED || record.name === '') continue;
    if (record.name === draft.state.self.name) refuteRecord(draft, record);
    else mergeRecord(draft, record, sender);
  }
}
