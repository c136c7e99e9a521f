import type { PlaceKey } from './types.ts';

/** When the caller of a refused request could return. */
export interface ReturnInput {
  nowMs: number;
  /** Time until the requests that wait now have their slots, in ms. */
  lineMs: number;
  /** Mean time between two slots that become free for this gateway, in ms. */
  slotEveryMs: number;
  /** Mean time for which a request takes a slot; no caller returns sooner. */
  durationMs: number;
  /** Longest time that the caller would wait before it returns, in ms. */
  maxMs: number;
  /** Random number from 0 to 1. */
  random: number;
}

/** Spreads the callers of refused requests over the slots that become free. */
export interface ReturnTimes {
  /** Gives a caller its time to return, after those who were told one before it, in ms from now. */
  assignReturnMs(key: PlaceKey, input: ReturnInput): number;
}

/** Creates a plan in which no caller has been told to return. */
export function createReturnTimes(): ReturnTimes {
  /** Monotonic time of the last slot that a caller was told, by key. */
  const lastMs = new Map<PlaceKey, number>();
  return {
    assignReturnMs(key, { nowMs, lineMs, slotEveryMs, durationMs, maxMs, random }) {
      const earliestMs = nowMs + Math.max(durationMs, Number.isFinite(lineMs) ? lineMs : 0);
      const nextMs = Math.max(earliestMs, (lastMs.get(key) ?? 0) + slotEveryMs);
      // Behind the longest wait there is no slot that the caller could use.
      if (nextMs > nowMs + maxMs) {
        const spreadMs = Math.max(0, maxMs - durationMs);
        return Math.min(durationMs, maxMs) + random * spreadMs;
      }
      lastMs.set(key, nextMs);
      return nextMs - nowMs + random * Math.min(slotEveryMs, nowMs + maxMs - nextMs);
    },
  };
}
