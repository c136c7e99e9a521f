import type { PlaceKey } from './types.ts';

/** Times that requests take at targets, as this gateway has observed them. */
export interface ServiceTimes {
  /** Records the time from the send of a request to its first event. */
  recordFirstEvent(key: PlaceKey, elapsedMs: number): void;
  /** Records the time from the send of a request to the end of its response. */
  recordDuration(key: PlaceKey, elapsedMs: number): void;
  /** Returns the time to the first event at a target with a free place; 0 if unknown. */
  getFirstEventMs(key: PlaceKey): number;
  /** Returns the mean time for which a request takes a place. */
  getDurationMs(key: PlaceKey): number;
}

/** Duration that is assumed before the first response has ended. */
const INITIAL_DURATION_MS = 1_000;
/** Weight of the newest duration in the moving average. */
const DURATION_WEIGHT = 0.05;
/** Quantile of the first events that stands for a target with a free place. */
const FREE_PLACE_QUANTILE = 0.25;
/** Step of the quantile estimate, as a share of its value. */
const QUANTILE_STEP = 0.05;

/** Creates empty statistics. */
export function createServiceTimes(): ServiceTimes {
  const firstEventMs = new Map<PlaceKey, number>();
  const durationMs = new Map<PlaceKey, number>();
  return {
    recordFirstEvent(key, elapsedMs) {
      const known = firstEventMs.get(key) ?? elapsedMs;
      const direction = elapsedMs < known ? FREE_PLACE_QUANTILE - 1 : FREE_PLACE_QUANTILE;
      firstEventMs.set(key, known + known * QUANTILE_STEP * direction);
    },
    recordDuration(key, elapsedMs) {
      const known = durationMs.get(key) ?? elapsedMs;
      durationMs.set(key, known + DURATION_WEIGHT * (elapsedMs - known));
    },
    getFirstEventMs: (key) => firstEventMs.get(key) ?? 0,
    getDurationMs: (key) => durationMs.get(key) ?? INITIAL_DURATION_MS,
  };
}
