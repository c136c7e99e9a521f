import type { TimerService } from '../timers/index.ts';

import { MAX_GATEWAYS } from './consts.ts';

/** Gateway addresses from the store and from packets, and when to try those not heard from. */
export interface AddressBook {
  /** Adds an address; if there are `MAX_GATEWAYS`, in place of one that is not heard any more. */
  addAddress(address: string): void;
  /**
   * Returns the addresses due for a packet. `isHeard` tells whether the gateway at an address has
   * sent a packet, to this gateway or to a hub that relays its state.
   */
  takeDueAddresses(isHeard: (address: string) => boolean): string[];
  /** Counts the addresses that are heard or whose retry pause has not reached its maximum. */
  countCandidates(): number;
}

/** Pause before the next packet to an address that is not heard; doubled up to the maximum. */
const INITIAL_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4_000;
/** Maximum packets to such addresses per period; avoids a burst when all gateways start at once. */
const MAX_PACKETS_PER_PERIOD = 20;

/** Creates an empty address book. */
export function createAddressBook(timers: Pick<TimerService, 'getMonotonicMs'>): AddressBook {
  const entries = new Map<string, { pauseMs: number; dueMs: number }>();

  return {
    addAddress(address) {
      if (entries.has(address)) return;
      if (entries.size >= MAX_GATEWAYS) {
        const silent = [...entries].find(([, { pauseMs }]) => pauseMs >= MAX_PAUSE_MS);
        if (silent === undefined) return;
        entries.delete(silent[0]);
      }
      entries.set(address, { pauseMs: INITIAL_PAUSE_MS, dueMs: 0 });
    },
    takeDueAddresses(isHeard) {
      const now = timers.getMonotonicMs();
      const due: string[] = [];
      for (const [address, entry] of entries) {
        if (isHeard(address)) {
          entry.pauseMs = INITIAL_PAUSE_MS;
          entry.dueMs = 0;
        } else if (entry.dueMs <= now && due.length < MAX_PACKETS_PER_PERIOD) {
          due.push(address);
          entry.dueMs = now + entry.pauseMs;
          entry.pauseMs = Math.min(MAX_PAUSE_MS, entry.pauseMs * 2);
        }
      }
      return due;
    },
    countCandidates: () =>
      [...entries.values()].filter(({ pauseMs }) => pauseMs < MAX_PAUSE_MS).length,
  };
}
