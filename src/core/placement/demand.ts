import type { TimerService } from '../timers/index.ts';
import type { PlaceKey } from './types.ts';

/** Rate of requests for one key, of one gateway or summed over several. */
export interface Demand {
  key: PlaceKey;
  requestsPerSecond: number;
}

/** Counts the requests that arrive, also those that are refused. */
export interface DemandMeter {
  recordRequest(key: PlaceKey): void;
  listDemands(): Demand[];
}

const BUCKET_MS = 500;
/** Buckets over which the rate is averaged: long enough for bursts not to move groups at once. */
const BUCKET_COUNT = 8;
const MS_PER_SECOND = 1_000;

/** Creates a meter without requests. */
export function createDemandMeter(timers: Pick<TimerService, 'getMonotonicMs'>): DemandMeter {
  /** Requests by key and number of the bucket. */
  const buckets = new Map<PlaceKey, Map<number, number>>();

  const getBucketNumber = (): number => Math.floor(timers.getMonotonicMs() / BUCKET_MS);

  /** Counts the requests of the last whole buckets, and drops older ones. */
  const countRecent = (counts: Map<number, number>, current: number): number => {
    let total = 0;
    for (const [number, count] of counts) {
      if (number < current - BUCKET_COUNT) counts.delete(number);
      else if (number < current) total += count;
    }
    return total;
  };

  return {
    recordRequest(key) {
      const counts = buckets.get(key) ?? new Map<number, number>();
      buckets.set(key, counts);
      const current = getBucketNumber();
      counts.set(current, (counts.get(current) ?? 0) + 1);
    },
    listDemands() {
      const current = getBucketNumber();
      const windowMs = BUCKET_MS * BUCKET_COUNT;
      return [...buckets].flatMap(([key, counts]) => {
        const requestsPerSecond = (countRecent(counts, current) * MS_PER_SECOND) / windowMs;
        // Models that a later configuration has no more are forgotten.
        if (counts.size === 0) buckets.delete(key);
        return requestsPerSecond > 0 ? { key, requestsPerSecond } : [];
      });
    },
  };
}

/** Returns the sum of the rates for one key, in requests per second. */
export function computeRequestsPerSecond(
  lists: readonly (readonly Demand[])[],
  wanted: PlaceKey,
): number {
  return lists
    .flat()
    .filter(({ key }) => key === wanted)
    .reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
}

/** Sums the rates by key. */
export function sumDemands(lists: readonly (readonly Demand[])[]): Demand[] {
  const totals = new Map<PlaceKey, number>();
  for (const { key, requestsPerSecond } of lists.flat()) {
    totals.set(key, (totals.get(key) ?? 0) + requestsPerSecond);
  }
  return [...totals].map(([key, requestsPerSecond]) => ({ key, requestsPerSecond }));
}
