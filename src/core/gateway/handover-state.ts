import { z } from 'zod';
import type { HeadLocation } from '../formation/index.ts';
import { headLocationSchema } from '../formation/index.ts';
import type { QuarantineNotice } from '../quarantine/index.ts';

/** What a leader stores with its lease for the next one, also across a restart of all gateways. */
export interface HandoverState {
  heads: HeadLocation[];
  quarantine: StoredNotice[];
}

const storedNoticeSchema = z.object({
  parts: z.array(z.string()).min(1),
  customers: z.array(z.string()),
  crashes: z.number(),
  /** Wall time, as it is read by other processes; an age would be wrong by the time in the store. */
  lastCrashWallMs: z.number(),
});

type StoredNotice = z.infer<typeof storedNoticeSchema>;

/** Reads the stored state; earlier releases stored the locations of the heads alone. */
export const handoverStateSchema: z.ZodType<HandoverState> = z.union([
  z.object({ heads: z.array(headLocationSchema), quarantine: z.array(storedNoticeSchema) }),
  z.array(headLocationSchema).transform((heads) => ({ heads, quarantine: [] })),
]);

/** Builds the state to store. */
export function buildHandoverState(
  heads: HeadLocation[],
  notices: readonly QuarantineNotice[],
  wallMs: number,
): HandoverState {
  return {
    heads,
    quarantine: notices.map(({ parts, customers, crashes, ageMs }) => ({
      parts: [...parts],
      customers: [...customers],
      crashes,
      lastCrashWallMs: wallMs - ageMs,
    })),
  };
}

/** Converts stored notices into those that gateways exchange. */
export function toNotices({ quarantine }: HandoverState, wallMs: number): QuarantineNotice[] {
  return quarantine.map(({ lastCrashWallMs, ...notice }) => ({
    ...notice,
    // The clock of the VM that stored it may be ahead.
    ageMs: Math.max(0, wallMs - lastCrashWallMs),
  }));
}
