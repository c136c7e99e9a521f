import type { TimerService } from '../timers/index.ts';
import type { PlaceKey } from './types.ts';

/** Priorities of the requests that lately asked for places. */
export interface RecentPriorities {
  recordPriority(key: PlaceKey, priority: number): void;
  /** Whether more urgent requests than these lately competed with them. */
  isLessUrgent(key: PlaceKey, priority: number): boolean;
}

/** Time for which a priority counts after its last request. */
const RECENT_MS = 5_000;

/** Creates an empty record; a configuration has few priorities. */
export function createRecentPriorities(
  timers: Pick<TimerService, 'getMonotonicMs'>,
): RecentPriorities {
  /** Monotonic time of the last request, by key and priority. */
  const lastMs = new Map<PlaceKey, Map<number, number>>();
  return {
    recordPriority(key, priority) {
      const known = lastMs.get(key) ?? new Map<number, number>();
      lastMs.set(key, known.set(priority, timers.getMonotonicMs()));
    },
    isLessUrgent(key, priority) {
      const sinceMs = timers.getMonotonicMs() - RECENT_MS;
      return [...(lastMs.get(key) ?? [])].some(([one, atMs]) => one < priority && atMs >= sinceMs);
    },
  };
}
