import { FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS } from './consts.ts';

/**
 * Returns the delay in milliseconds after a number of consecutive failures. It grows exponentially,
 * and half of it is random, so that relays do not all call a recovering platform simultaneously.
 */
export function computeBackoffMs(failures: number, random: () => number): number {
  const fullMs = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.max(0, failures - 1));
  return fullMs / 2 + (random() * fullMs) / 2;
}
