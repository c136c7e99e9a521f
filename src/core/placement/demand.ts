import type { TimerService } from '../timers/index.ts';
import type { PlaceKey } from './types.ts';

/** Rates of the requests for one key and of their work, of one gateway or summed over several. */
export interface Demand {
  key: PlaceKey;
  requestsPerSecond: number;
  promptTokensPerSecond: number;
  /** Answers that were complete. */
  answersPerSecond: number;
  /** Events of these answers. */
  eventsPerSecond: number;
}

/** Counts the requests that arrive, also those that are refused, and their work. */
export interface DemandMeter {
  recordRequest(key: PlaceKey, promptTokens: number): void;
  /** Records a complete answer with the number of its events. */
  recordAnswer(key: PlaceKey, events: number): void;
  listDemands(): Demand[];
}

const BUCKET_MS = 500;
/** Buckets over which the rate is averaged: long enough for bursts not to move groups at once. */
const BUCKET_COUNT = 8;
const MS_PER_SECOND = 1_000;
/** Most tokens that one prompt counts for, as callers state any number. */
const MAX_PROMPT_TOKENS = 1_000_000;

type Counts = Omit<Demand, 'key'>;

const NO_COUNTS: Counts = {
  requestsPerSecond: 0,
  promptTokensPerSecond: 0,
  answersPerSecond: 0,
  eventsPerSecond: 0,
};

/** Returns the sums of two demands, with the second multiplied by a factor. */
function addScaled(left: Counts, right: Counts, factor: number): Counts {
  return {
    requestsPerSecond: left.requestsPerSecond + right.requestsPerSecond * factor,
    promptTokensPerSecond: left.promptTokensPerSecond + right.promptTokensPerSecond * factor,
    answersPerSecond: left.answersPerSecond + right.answersPerSecond * factor,
    eventsPerSecond: left.eventsPerSecond + right.eventsPerSecond * factor,
  };
}

/** Creates a meter without requests. */
export function createDemandMeter(timers: Pick<TimerService, 'getMonotonicMs'>): DemandMeter {
  /** Counts by key and number of the bucket. */
  const buckets = new Map<PlaceKey, Map<number, Counts>>();

  const getBucketNumber = (): number => Math.floor(timers.getMonotonicMs() / BUCKET_MS);

  const addCounts = (key: PlaceKey, added: Partial<Counts>): void => {
    const byNumber = buckets.get(key) ?? new Map<number, Counts>();
    buckets.set(key, byNumber);
    const current = getBucketNumber();
    const known = byNumber.get(current) ?? NO_COUNTS;
    byNumber.set(current, addScaled(known, { ...NO_COUNTS, ...added }, 1));
  };

  /** Sums the last whole buckets, and drops older ones. */
  const sumRecent = (byNumber: Map<number, Counts>, current: number): Counts => {
    let total = NO_COUNTS;
    for (const [number, counts] of byNumber) {
      if (number < current - BUCKET_COUNT) byNumber.delete(number);
      else if (number < current) total = addScaled(total, counts, 1);
    }
    return total;
  };

  return {
    recordRequest(key, promptTokens) {
      const bounded = Math.min(MAX_PROMPT_TOKENS, promptTokens);
      addCounts(key, { requestsPerSecond: 1, promptTokensPerSecond: bounded });
    },
    recordAnswer(key, events) {
      addCounts(key, { answersPerSecond: 1, eventsPerSecond: events });
    },
    listDemands() {
      const current = getBucketNumber();
      const perSecond = MS_PER_SECOND / (BUCKET_MS * BUCKET_COUNT);
      return [...buckets].flatMap(([key, byNumber]) => {
        const total = sumRecent(byNumber, current);
        // Models that a later configuration has no more are forgotten.
        if (byNumber.size === 0) buckets.delete(key);
        if (total.requestsPerSecond === 0 && total.answersPerSecond === 0) return [];
        return { key, ...addScaled(NO_COUNTS, total, perSecond) };
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
  const totals = new Map<PlaceKey, Counts>();
  for (const { key, ...counts } of lists.flat()) {
    totals.set(key, addScaled(totals.get(key) ?? NO_COUNTS, counts, 1));
  }
  return [...totals].map(([key, counts]) => ({ key, ...counts }));
}

/** Returns the rates without those of a part of the gateways. */
export function computeRemainingDemands(all: readonly Demand[], part: readonly Demand[]): Demand[] {
  const negated = part.map(({ key, ...counts }) => ({
    key,
    ...addScaled(NO_COUNTS, counts, -1),
  }));
  return sumDemands([all, negated]);
}
