import { CONTINUE_BUDGET_FRACTION, MAX_DAEMON_UNDELIVERED_BYTES } from './consts.ts';

/** Budget for the undelivered text of all streams of a daemon, in bytes. */
export interface BufferBudget {
  /** Adds bytes, or removes them when the number is negative. */
  add(bytes: number): void;
  getBytes(): number;
  isExceeded(): boolean;
  /** Tells whether paused streams may continue. */
  canContinueStreams(): boolean;
  /** Calls the listener whenever bytes were removed and paused streams may continue. */
  subscribe(listener: () => void): () => void;
}

/** Creates the budget of a daemon with the given limit in bytes. */
export function createBufferBudget(maxBytes = MAX_DAEMON_UNDELIVERED_BYTES): BufferBudget {
  const listeners = new Set<() => void>();
  let held = 0;
  const canContinue = (): boolean => held <= maxBytes * CONTINUE_BUDGET_FRACTION;
  return {
    add(bytes) {
      held += bytes;
      if (bytes < 0 && canContinue()) listeners.forEach((listener) => listener());
    },
    getBytes: () => held,
    isExceeded: () => held > maxBytes,
    canContinueStreams: canContinue,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
