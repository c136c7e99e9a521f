import { BYTES_PER_MB, MIN_BUDGET_BYTES } from './consts.ts';
import type { MemoryAccount, MemoryBudget } from './types.ts';

/** Memory that a process needs without any peer, and for garbage that is not collected yet. */
const BASE_BYTES = 200 * BYTES_PER_MB;
/** Largest share of a VM's memory that is held for peers. */
const MAX_SHARE = 0.3;
/** Requests above this size leave the rest of the budget to smaller ones. */
export const SMALL_BYTES = 64 * 1024;
export const LARGE_REQUEST_SHARE = 0.75;

/** Computes the budget of a process on a VM with this much memory, in bytes. */
export function computeBudgetBytes(memoryLimitBytes: number): number {
  const share = Math.min(memoryLimitBytes * MAX_SHARE, memoryLimitBytes - BASE_BYTES);
  return Math.max(MIN_BUDGET_BYTES, share);
}

/** Creates an empty budget. */
export function createMemoryBudget(limitBytes: number): MemoryBudget {
  let heldBytes = 0;
  const largeLimitBytes = limitBytes * LARGE_REQUEST_SHARE;
  const hasRoom = (bytes: number): boolean =>
    heldBytes + bytes <= (bytes > SMALL_BYTES ? largeLimitBytes : limitBytes);

  return {
    openAccount(initialBytes) {
      if (!hasRoom(initialBytes)) return undefined;
      let accountBytes = 0;
      let isClosed = false;
      const charge = (bytes: number): void => {
        if (isClosed) return;
        accountBytes += bytes;
        heldBytes += bytes;
      };
      const account: MemoryAccount = {
        tryReserve(bytes) {
          if (!hasRoom(bytes)) return false;
          charge(bytes);
          return true;
        },
        charge,
        close() {
          charge(-accountBytes);
          isClosed = true;
        },
      };
      charge(initialBytes);
      return account;
    },
    isShort: () => heldBytes > largeLimitBytes,
    getHeldBytes: () => heldBytes,
    getLimitBytes: () => limitBytes,
  };
}
