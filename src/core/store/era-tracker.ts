import type { Logger } from '../logs/index.ts';

/**
 * Follows the eras of the store. A new era begins when the store comes back from an older copy: what
 * it has acknowledged since that copy is lost, and revisions are given out again.
 */
export interface EraTracker {
  /** Returns the newest era of which an answer was seen; 0 if the store names none. */
  getEra(): number;
  /** Records the era of an answer; undefined if it names none. */
  observe(era: number | undefined): void;
  /** Calls the listener with each new era, but not with the first one. */
  subscribe(listener: (era: number) => void): void;
}

/** Creates a tracker that has seen no answer. */
export function createEraTracker(logger: Logger): EraTracker {
  const listeners: ((era: number) => void)[] = [];
  let current: number | undefined;
  return {
    getEra: () => current ?? 0,
    observe(era) {
      if (era === undefined || era <= (current ?? -1)) return;
      const previous = current;
      current = era;
      if (previous === undefined) return;
      logger.warn('the store came back from an older copy', { era, previous });
      listeners.forEach((listener) => listener(era));
    },
    subscribe(listener) {
      listeners.push(listener);
    },
  };
}
