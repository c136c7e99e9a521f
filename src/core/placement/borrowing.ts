import type { TimerService } from '../timers/index.ts';
import type { PlaceKey } from './types.ts';

/** Slots that seem to be free at the targets of a key, and the gateways that want them. */
export interface FreeSlots {
  slots: number;
  gateways: number;
  /** Requests of all gateways for the key. */
  requestsPerSecond: number;
}

/** Limits how many slots that are not its own this gateway takes. */
export interface Borrowing {
  /** Takes one of the slots that this gateway may borrow; returns whether there is one. */
  takeSlot(key: PlaceKey, free: FreeSlots): boolean;
}

/** Time until gateways know of the requests that the others have sent, in ms. */
const REPORT_MS = 250;
const MS_PER_SECOND = 1_000;
/** Shares of that time that a gateway without requests saves up for several at once. */
const MAX_SAVED_SHARES = 4;

/**
 * Computes how many slots a gateway may take in the time that a report needs. The slots are divided
 * among the gateways that have a request in that time.
 */
function computeShare({ slots, gateways, requestsPerSecond }: FreeSlots): number {
  const requests = (requestsPerSecond * REPORT_MS) / MS_PER_SECOND;
  return slots / Math.max(1, Math.min(gateways, requests));
}

/** Computes the mean time between two slots that a gateway may borrow, in ms. */
export function computeBorrowEveryMs(free: FreeSlots): number {
  const share = computeShare(free);
  return share > 0 ? REPORT_MS / share : Infinity;
}

interface Allowance {
  slots: number;
  updatedMs: number;
}

/**
 * Creates the allowance of one gateway. Answers high load with many gateways: each sees the same free
 * slots some hundred ms late, and if all send there, requests queue at the targets until they are
 * late. A gateway therefore takes its part of the free slots in each time that a report needs; while
 * many are free, that is more than it has requests.
 */
export function createBorrowing(timers: Pick<TimerService, 'getMonotonicMs'>): Borrowing {
  const allowances = new Map<PlaceKey, Allowance>();
  return {
    takeSlot(key, free) {
      const now = timers.getMonotonicMs();
      const known = allowances.get(key) ?? { slots: 1, updatedMs: now };
      const share = computeShare(free);
      const elapsedMs = now - known.updatedMs;
      const earned = elapsedMs > 0 ? (share * elapsedMs) / REPORT_MS : 0;
      const allowed = Math.min(Math.max(1, MAX_SAVED_SHARES * share), known.slots + earned);
      const isAllowed = allowed >= 1;
      allowances.set(key, { slots: isAllowed ? allowed - 1 : allowed, updatedMs: now });
      return isAllowed;
    },
  };
}
