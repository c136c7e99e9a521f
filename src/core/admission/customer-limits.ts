import type { LimitRow } from '../declarations/index.ts';
import { createTokenBucket } from './token-bucket.ts';
import type { TokenBucket } from './token-bucket.ts';
import type { AdmissionOptions, AdmissionRefusal, Ticket } from './types.ts';
import { CustomerLimit } from './types.ts';

/** Enforces the limits of all customers at this daemon. */
export interface CustomerLimits {
  /** Counts one request, or refuses it when it exceeds the customer's requests per second. */
  admitRequest(customer: string): AdmissionRefusal | undefined;
  /** Returns the limit that currently blocks queued requests of the customer, if any. */
  findBlockingLimit(customer: string): AdmissionRefusal | undefined;
  /** Counts a started request until its ticket is released. */
  startRequest(customer: string, tokens: number): Ticket;
  getShareWeight(customer: string): number;
}

interface CustomerState {
  requests: TokenBucket;
  tokens: TokenBucket;
  running: number;
}

const MS_PER_SECOND = 1_000;
/** Retry delay sent to the caller when the limit of concurrent requests is reached. */
const CONCURRENCY_RETRY_MS = 1_000;

function computeWaitMs(missing: number, ratePerSecond: number): number {
  return Math.ceil((missing / ratePerSecond) * MS_PER_SECOND);
}

/** Creates the limits of a daemon. Each is divided by the number of daemons of the customer. */
export function createCustomerLimits(options: AdmissionOptions): CustomerLimits {
  const states = new Map<string, CustomerState>();

  const getState = (customer: string): CustomerState => {
    const known = states.get(customer);
    if (known !== undefined) return known;
    const state = { requests: createTokenBucket(), tokens: createTokenBucket(), running: 0 };
    states.set(customer, state);
    return state;
  };

  const computeDaemonShare = (customer: string, limit: number): number =>
    limit / Math.max(1, options.countDaemons(customer));

  const findRequestRefusal = (customer: string, limits: LimitRow): AdmissionRefusal | undefined => {
    const rate = computeDaemonShare(customer, limits.requestsPerSecond);
    const balance = getState(customer).requests.getBalance(options.timers.getMonotonicMs(), rate);
    if (balance >= 1) return undefined;
    return {
      limit: CustomerLimit.RequestsPerSecond,
      retryAfterMs: computeWaitMs(1 - balance, rate),
    };
  };

  const findTokenRefusal = (customer: string, limits: LimitRow): AdmissionRefusal | undefined => {
    const rate = computeDaemonShare(customer, limits.tokensPerSecond);
    const balance = getState(customer).tokens.getBalance(options.timers.getMonotonicMs(), rate);
    // A positive balance is enough: a request larger than one second of the rate starts anyway, and
    // the negative balance it leaves is paid off before the next request starts.
    if (balance > 0) return undefined;
    return { limit: CustomerLimit.TokensPerSecond, retryAfterMs: computeWaitMs(1 - balance, rate) };
  };

  return {
    admitRequest(customer) {
      const limits = options.getLimits(customer);
      if (limits === undefined) return undefined;
      const refusal = findRequestRefusal(customer, limits);
      if (refusal === undefined) getState(customer).requests.take(1);
      return refusal;
    },
    findBlockingLimit(customer) {
      const limits = options.getLimits(customer);
      if (limits === undefined) return undefined;
      const maxRunning = Math.max(
        1,
        Math.floor(computeDaemonShare(customer, limits.concurrentRequests)),
      );
      if (getState(customer).running >= maxRunning) {
        return {
          limit: CustomerLimit.ConcurrentRequests,
          retryAfterMs: CONCURRENCY_RETRY_MS,
        };
      }
      return findTokenRefusal(customer, limits);
    },
    startRequest(customer, tokens) {
      const state = getState(customer);
      state.running++;
      state.tokens.take(tokens);
      let isHeld = true;
      return {
        customer,
        release(usedTokens) {
          if (!isHeld) return;
          isHeld = false;
          state.running--;
          state.tokens.take(usedTokens - tokens);
        },
      };
    },
    getShareWeight: (customer) => options.getLimits(customer)?.shareWeight ?? 1,
  };
}
