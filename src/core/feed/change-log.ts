import type { StoreEvent } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { FeedChange } from './types.ts';

/** The latest changes of a kind, for processes that follow this one. */
export interface ChangeLog {
  /** Starts anew after a listing, which brings no changes. */
  reset(revision: number): void;
  addChanges(events: readonly StoreEvent[], readRevision: number): void;
  /** Returns the changes of the last `recentMs`, and the revision after which they are complete. */
  listRecent(recentMs: number): { sinceRevision: number; changes: FeedChange[] };
  getChangedRevision(): number;
}

/** Changes are kept for this long; longer than any period between packets. */
const KEEP_MS = 2_000;

/** Creates an empty log. */
export function createChangeLog(timers: Pick<TimerService, 'getMonotonicMs'>): ChangeLog {
  let records: { change: FeedChange; atMs: number }[] = [];
  /** All changes after this revision are in the records. */
  let keptRevision = 0;
  let changedRevision = 0;

  return {
    reset(revision) {
      records = [];
      keptRevision = revision;
      changedRevision = revision;
    },
    addChanges(events, readRevision) {
      const now = timers.getMonotonicMs();
      const isOld = ({ atMs }: { atMs: number }): boolean => now - atMs > KEEP_MS;
      keptRevision = records.findLast(isOld)?.change.readRevision ?? keptRevision;
      records = records.filter((record) => !isOld(record));
      if (events.length === 0) return;
      records.push(...events.map((event) => ({ change: { ...event, readRevision }, atMs: now })));
      changedRevision = readRevision;
    },
    listRecent(recentMs) {
      const now = timers.getMonotonicMs();
      const first = records.findIndex(({ atMs }) => now - atMs <= recentMs);
      const recent = first < 0 ? [] : records.slice(first);
      const before = first < 0 ? records.at(-1) : records[first - 1];
      return {
        sinceRevision: before?.change.readRevision ?? keptRevision,
        changes: recent.map(({ change }) => change),
      };
    },
    getChangedRevision: () => changedRevision,
  };
}
