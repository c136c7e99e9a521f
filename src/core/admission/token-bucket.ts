/** Token bucket whose rate is passed on each use, because operators may change it. */
export interface TokenBucket {
  /** Refills the bucket and returns its balance, which is negative after a large request. */
  getBalance(nowMs: number, ratePerSecond: number): number;
  /** Removes tokens, or returns them when the amount is negative. */
  take(amount: number): void;
}

const MS_PER_SECOND = 1_000;

/** Creates a full bucket. Its capacity is one second of the rate, but at least 1 for low rates. */
export function createTokenBucket(): TokenBucket {
  let balance: number | undefined;
  let lastRefillMs = 0;
  return {
    getBalance(nowMs, ratePerSecond) {
      const capacity = Math.max(1, ratePerSecond);
      const refilledTokens = ((nowMs - lastRefillMs) / MS_PER_SECOND) * ratePerSecond;
      balance = Math.min(capacity, (balance ?? capacity) + refilledTokens);
      lastRefillMs = nowMs;
      return balance;
    },
    take(amount) {
      balance = (balance ?? 0) - amount;
    },
  };
}
