import { z } from 'zod';
import type { UsageReport } from './types.ts';

/** What the store holds of the reports of usage. */
export interface UsageRecord {
  /** Era of the store in which the record was written. */
  era: number;
  /** Highest window that is fixed or given up; none up to it is ever fixed again. */
  lastWindow: number;
  /** Fixed windows that may not be reported yet, oldest first. */
  windows: readonly UsageReport[];
}

const recordSchema = z.object({
  era: z.number(),
  lastWindow: z.int(),
  windows: z.array(
    z.object({
      window: z.int(),
      counts: z.record(z.string(), z.int().nonnegative()),
    }),
  ),
});

/** Parses the `spec` of the stored object; undefined if it is not a record. */
export function parseUsageRecord(spec: unknown): UsageRecord | undefined {
  const { data } = recordSchema.safeParse(spec);
  if (data === undefined) return undefined;
  const windows = data.windows.map(({ window, counts }) => ({
    window,
    counts: new Map(Object.entries(counts)),
  }));
  return { ...data, windows };
}

/** Encodes a record as the `spec` of the stored object. */
export function encodeUsageRecord({ era, lastWindow, windows }: UsageRecord): unknown {
  return {
    era,
    lastWindow,
    windows: windows.map(({ window, counts }) => ({ window, counts: Object.fromEntries(counts) })),
  };
}

/**
 * Builds the record to go on with after the store came back from an older copy. What this process has
 * fixed since the copy is as it was; the other windows up to `lastFixable` may have been fixed with
 * counts that nobody knows, and are given up.
 */
export function buildRestoredRecord(
  stored: UsageRecord | undefined,
  era: number,
  lastFixable: number,
  ownFixed: ReadonlyMap<number, UsageReport['counts']>,
): UsageRecord {
  const lastStored = stored?.lastWindow ?? -Infinity;
  const own = [...ownFixed].flatMap(([window, counts]) =>
    window > lastStored ? { window, counts } : [],
  );
  const lastOwn = Math.max(-Infinity, ...own.map(({ window }) => window));
  const windows = [...(stored?.windows ?? []), ...own].sort(
    (left, right) => left.window - right.window,
  );
  return { era, lastWindow: Math.max(lastStored, lastOwn, lastFixable), windows };
}
