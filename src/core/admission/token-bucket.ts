/** Token bucket whose rate is given at each use, because operators change it. */
export interface TokenBucket {
  /** Returns the tokens left; negative while a large request is paid off. */
  getBalance(nowMs: number, ratePerSecond: number): number;
  /** Takes tokens, or gives them back with a negative amount. */
  take(amount: number): void;
}

const MS_PER_SECOND = 1_000;

/** A bucket holds one second of its rate, and at least one token, so that low rates work. */
export function createTokenBucket(): TokenBucket {
  let balance: number | undefined;
  let latestMs = 0;
  return {
    getBalance(nowMs, ratePerSecond) {
      const capacity = Math.max(1, ratePerSecond);
      const gained = ((nowMs - latestMs) / MS_PER_SECOND) * ratePerSecond;
      balance = Math.min(capacity, (balance ?? capacity) + gained);
      latestMs = nowMs;
      return balance;
    },
    take(amount) {
      balance = (balance ?? 0) - amount;
    },
  };
}
