import type { TimerService } from '../timers/index.ts';

/** Gateway addresses known from the store, and when to contact those that have not responded. */
export interface AddressBook {
  addAddress(address: string): void;
  /** Returns the addresses due for a packet; `isHeard` tells which gateways have sent packets. */
  takeDue(isHeard: (address: string) => boolean): string[];
  /** Counts the addresses that respond or whose retry pause has not reached its maximum. */
  countLikely(): number;
}

/** Pause before the next packet to an address that has not responded; doubled up to the maximum. */
const FIRST_PAUSE_MS = 250;
const LARGEST_PAUSE_MS = 4_000;
/** Maximum packets to such addresses per period; avoids a burst when the whole fleet starts. */
const MOST_AT_ONCE = 20;

/** Creates an empty address book. */
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
