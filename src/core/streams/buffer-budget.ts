import { CONTINUE_DAEMON_SHARE, MAX_DAEMON_BYTES } from './consts.ts';

/** Budget for the undelivered text of all streams of a daemon, in bytes. */
export interface BufferBudget {
  /** Adds bytes, or removes them when the number is negative. */
  add(bytes: number): void;
  getBytes(): number;
  isExceeded(): boolean;
  /** Tells whether paused streams may continue. */
  hasRoom(): boolean;
  /** Calls the listener whenever bytes were removed and paused streams may continue. */
  subscribe(listener: () => void): () => void;
}

/** Creates the budget of a daemon with the given limit in bytes. */
export function createBufferBudget(maxBytes = MAX_DAEMON_BYTES): BufferBudget {
  const listeners = new Set<() => void>();
  let held = 0;
  const hasRoom = (): boolean => held <= maxBytes * CONTINUE_DAEMON_SHARE;
  return {
    add(bytes) {
      held += bytes;
      if (bytes < 0 && hasRoom()) listeners.forEach((listener) => listener());
    },
    getBytes: () => held,
    isExceeded: () => held > maxBytes,
    hasRoom,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
