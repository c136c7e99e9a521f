import type { Allocation } from '../allocation/index.ts';
import { encodeCanonicalJson } from './canonical-json.ts';

function encodeWithoutRenewal(allocation: Allocation): string {
  return encodeCanonicalJson({ ...allocation, lease: { ...allocation.lease, renewal: 0 } });
}

/**
 * Tells whether two versions differ only in the renewal counter of the lease. Such versions are not
 * propagated: 75 fabric domains together renew about 9 times a second, entry daemons do not use the
 * counter, and controllers that compete for the lease read it from the platform.
 */
export function isLeaseRenewal(held: Allocation, next: Allocation): boolean {
  return encodeWithoutRenewal(held) === encodeWithoutRenewal(next);
}
