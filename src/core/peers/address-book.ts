import type { TimerService } from '../timers/index.ts';

/** Addresses of gateways that are known from the store and have not been heard of. */
export interface AddressBook {
  addAddress(address: string): void;
  /** Returns addresses that are due for a packet; `isHeard` tells which need none. */
  takeDue(isHeard: (address: string) => boolean): string[];
  /** Addresses that answer, or have not been tried often enough to be given up. */
  countLikely(): number;
}

/** Pause before an address without an answer gets the next packet; doubled up to the largest. */
const FIRST_PAUSE_MS = 250;
const LARGEST_PAUSE_MS = 4_000;
/** Packets to such addresses in one period, so that a start of the whole fleet is no burst. */
const MOST_AT_ONCE = 20;

/** Creates an empty book. */
export function createAddressBook(timers: Pick<TimerService, 'getMonotonicMs'>): AddressBook {
  const entries = new Map<string, { pauseMs: number; dueMs: number }>();

  return {
    addAddress(address) {
      if (!entries.has(address)) entries.set(address, { pauseMs: FIRST_PAUSE_MS, dueMs: 0 });
    },
    takeDue(isHeard) {
      const now = timers.getMonotonicMs();
      const due: string[] = [];
      for (const [address, entry] of entries) {
        if (isHeard(address)) {
          entry.pauseMs = FIRST_PAUSE_MS;
          entry.dueMs = 0;
        } else if (entry.dueMs <= now && due.length < MOST_AT_ONCE) {
          due.push(address);
          entry.dueMs = now + entry.pauseMs;
          entry.pauseMs = Math.min(LARGEST_PAUSE_MS, entry.pauseMs * 2);
        }
      }
      return due;
    },
    countLikely: () =>
      [...entries.values()].filter(({ pauseMs }) => pauseMs < LARGEST_PAUSE_MS).length,
  };
}
