import { z } from 'zod';
import type { PlatformCounters, PlatformFaults } from './types.ts';

const countSchema = z.number().int().min(0);

/** Body of `POST /faults`; omitted faults stay unchanged. */
export const faultsSchema = z
  .strictObject({
    down: z.boolean(),
    delayMs: countSchema,
    loseWriteAnswers: countSchema,
    lateWrites: countSchema,
    lateWriteMs: countSchema,
    vmListLagMs: countSchema,
  })
  .partial();

/** Returns settings with no fault active. */
export function createFaults(): PlatformFaults {
  return {
    down: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    lateWrites: 0,
    lateWriteMs: 1_000,
    vmListLagMs: 0,
  };
}

/** Returns counters initialized to 0. */
export function createCounters(): PlatformCounters {
  return {
    reads: 0,
    writes: 0,
    conflicts: 0,
    watches: 0,
    waitingWatches: 0,
    vmLists: 0,
    unanswered: 0,
  };
}
