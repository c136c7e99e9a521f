import { z } from 'zod';
import type { PlatformObject } from './types.ts';

/** Change records in an object value, which settle lost responses; `config/current` has them. */
const recordedValueSchema = z.object({
  changes: z.array(z.object({ writeId: z.string(), baseVersion: z.number() })),
});

type RecordedChange = z.infer<typeof recordedValueSchema>['changes'][number];

function listRecords(object: PlatformObject): RecordedChange[] {
  const result = recordedValueSchema.safeParse(object.value);
  return result.success ? result.data.changes : [];
}

/** Tells whether a write created this version of the object or is in its change records. */
export function isWriteRecorded(object: PlatformObject, writeId: string): boolean {
  if (object.writeId === writeId) return true;
  return listRecords(object).some((record) => record.writeId === writeId);
}

/**
 * Tells whether the change record with a base version was trimmed. Each change adds a record with
 * its base version, so the record exists unless it was trimmed; an object without any records does
 * not count as trimmed.
 */
export function isChangeHistoryTrimmed(object: PlatformObject, baseVersion: number): boolean {
  const records = listRecords(object);
  if (records.length === 0) return false;
  return !records.some((record) => record.baseVersion === baseVersion);
}
