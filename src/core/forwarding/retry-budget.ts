import type { TimerService } from '../timers/index.ts';

/** Dependencies and limits of a retry budget; the limits hold for all gateways together. */
export interface RetryBudgetOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  /** Returns the retries allowed per request, summed over all gateways. */
  getRatio(): number;
  /** Returns the additional retries allowed per window, summed over all gateways. */
  getExtraRetries(): number;
  /** Length of the window over which requests and retries are counted. */
  windowMs: number;
  /** Returns the number of gateways that share the additional retries. */
  countGateways(): number;
}

/** This gateway's share of the retries allowed per service. */
export interface RetryBudget {
  /** Counts a request, not its retries; each request raises the number of allowed retries. */
  recordRequest(service: string): void;
  /** Whether a retry is left, without taking it. */
  hasRetry(service: string): boolean;
  /** Takes one retry from the budget; false if none is left. */
  takeRetry(service: string): boolean;
}

/** Share of the limits that is used; the rest covers restarts, after which past retries are unknown. */
const USED_SHARE = 0.8;
/** Number of buckets per window. */
const BUCKET_COUNT = 10;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** Creates a retry budget that counts over one window plus the current bucket. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { timers, getRatio, getExtraRetries, windowMs, countGateways } = options;
  const bucketMs = windowMs / BUCKET_COUNT;
  const byService = new Map<string, Bucket[]>();

  const getCurrent = (service: string): { buckets: Bucket[]; current: Bucket } => {
    const index = Math.floor(timers.getMonotonicMs() / bucketMs);
    const buckets = (byService.get(service) ?? []).filter(
      (one) => one.index >= index - BUCKET_COUNT,
    );
    byService.set(service, buckets);
    let current = buckets.at(-1);
    if (current?.index !== index) {
      current = { index, requests: 0, retries: 0 };
      buckets.push(current);
    }
    return { buckets, current };
  };

  const hasRetry = (service: string): boolean => {
    const { buckets } = getCurrent(service);
    const requests = buckets.reduce((total, one) => total + one.requests, 0);
    const retries = buckets.reduce((total, one) => total + one.retries, 0);
    const allowed =
      USED_SHARE * (getRatio() * requests + getExtraRetries() / Math.max(1, countGateways()));
    return retries + 1 <= allowed;
  };

  return {
    recordRequest(service) {
      getCurrent(service).current.requests++;
    },
    hasRetry,
    takeRetry(service) {
      if (!hasRetry(service)) return false;
      getCurrent(service).current.retries++;
      return true;
    },
  };
}
