import type { ObjectChange } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { FeedChange } from './types.ts';

/** Recent changes of one kind of objects, which are sent to processes that follow this one. */
export interface ChangeLog {
  /** Clears the log after a listing, which returns objects and no changes. */
  reset(revision: number): void;
  addChanges(events: readonly ObjectChange[], readRevision: number): void;
  /** Returns the changes of the last `recentMs` and the revision after which none is missing. */
  listRecent(recentMs: number): { sinceRevision: number; changes: FeedChange[] };
  getChangedRevision(): number;
}

/**
 * How long changes are kept; longer than any period between packets and than any `recentMs` given to
 * listRecent.
 */
const RETENTION_MS = 2_000;

/** Creates an empty log. */
export function createChangeLog(timers: Pick<TimerService, 'getMonotonicMs'>): ChangeLog {
  let records: { change: FeedChange; atMs: number }[] = [];
  /** The records contain every change after this revision. */
  let completeSinceRevision = 0;
  let changedRevision = 0;

  return {
    reset(revision) {
      records = [];
      completeSinceRevision = revision;
      changedRevision = revision;
    },
    addChanges(events, readRevision) {
      const now = timers.getMonotonicMs();
      const isOld = ({ atMs }: { atMs: number }): boolean => now - atMs > RETENTION_MS;
      completeSinceRevision = records.findLast(isOld)?.change.readRevision ?? completeSinceRevision;
      records = records.filter((record) => !isOld(record));
      if (events.length === 0) return;
      records.push(...events.map((event) => ({ change: { ...event, readRevision }, atMs: now })));
      changedRevision = readRevision;
    },
    listRecent(recentMs) {
      const now = timers.getMonotonicMs();
      const first = records.findIndex(({ atMs }) => now - atMs <= recentMs);
      const recent = first < 0 ? [] : records.slice(first);
      const precedingRecord = first < 0 ? records.at(-1) : records[first - 1];
      return {
        sinceRevision: precedingRecord?.change.readRevision ?? completeSinceRevision,
        changes: recent.map(({ change }) => change),
      };
    },
    getChangedRevision: () => changedRevision,
  };
}
