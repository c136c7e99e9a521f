import { z } from 'zod';
import type { PlatformObject } from './types.ts';

/** The part of a value that settles lost answers; `config/current` has it. */
const recordedValueSchema = z.object({
  changes: z.array(z.object({ writeId: z.string(), baseVersion: z.number() })),
});

type RecordedChange = z.infer<typeof recordedValueSchema>['changes'][number];

function listRecords(object: PlatformObject): RecordedChange[] {
  const result = recordedValueSchema.safeParse(object.value);
  return result.success ? result.data.changes : [];
}

/** Tells whether a write made the object or is named in its change records. */
export function isWriteRecorded(object: PlatformObject, writeId: string): boolean {
  if (object.writeId === writeId) return true;
  return listRecords(object).some((record) => record.writeId === writeId);
}

/**
 * Tells whether the change records no longer reach back to a base version. Each change adds a
 * record, so one of them names the base version unless it was trimmed.
 */
export function isChangeHistoryTrimmed(object: PlatformObject, baseVersion: number): boolean {
  const records = listRecords(object);
  if (records.length === 0) return false;
  return !records.some((record) => record.baseVersion === baseVersion);
}
