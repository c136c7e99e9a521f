import { FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS } from './consts.ts';

/**
 * Returns the wait after a number of failures in a row: exponential, with a random half, so that
 * relays do not call a returning platform at the same time.
 */
export function computeBackoffMs(failures: number, random: () => number): number {
  const fullMs = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.max(0, failures - 1));
  return fullMs / 2 + (random() * fullMs) / 2;
}
