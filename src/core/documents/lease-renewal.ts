import type { Allocation } from '../allocation/index.ts';
import { encodeCanonical } from './canonical.ts';

function encodeWithoutRenewal(allocation: Allocation): string {
  return encodeCanonical({ ...allocation, lease: { ...allocation.lease, renewal: 0 } });
}

/**
 * Tells whether two versions differ only in the renewal counter of the lease. Such versions are not
 * spread: 75 fabric domains renew about 9 times a second, entry daemons do not use the counter, and
 * challengers read it from the platform.
 */
export function isLeaseRenewal(held: Allocation, next: Allocation): boolean {
  return encodeWithoutRenewal(held) === encodeWithoutRenewal(next);
}
