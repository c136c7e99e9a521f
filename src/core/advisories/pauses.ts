import type { TimerService } from '../timers/index.ts';
import { MAX_PAUSE_MS, MAX_PAUSES } from './consts.ts';

/** The targets that want no requests from this gateway for a time. */
export interface Pauses {
  /** Starts a pause, or makes it longer; returns whether there was none. */
  add(targetKey: string, pauseMs: number): boolean;
  /** Returns how long the pause of a target still lasts, in ms; 0 without one. */
  getRemainingMs(targetKey: string): number;
}

/** Creates an empty list. */
export function createPauses(timers: Pick<TimerService, 'getMonotonicMs'>): Pauses {
  const ends = new Map<string, number>();

  const getRemainingMs = (targetKey: string): number => {
    const endMs = ends.get(targetKey);
    if (endMs === undefined) return 0;
    const remainingMs = endMs - timers.getMonotonicMs();
    if (remainingMs <= 0) ends.delete(targetKey);
    return Math.max(0, remainingMs);
  };

  return {
    add(targetKey, pauseMs) {
      const knownMs = getRemainingMs(targetKey);
      const endMs = timers.getMonotonicMs() + Math.max(knownMs, Math.min(pauseMs, MAX_PAUSE_MS));
      ends.set(targetKey, endMs);
      const [oldest] = ends.keys();
      if (ends.size > MAX_PAUSES && oldest !== undefined) ends.delete(oldest);
      return knownMs === 0 && pauseMs > 0;
    },
    getRemainingMs,
  };
}
