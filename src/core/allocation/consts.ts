/** Kind of the platform objects that hold one fabric domain each. */
export const ALLOCATION_KIND = 'allocation';

/** Kind of the platform objects that name the fabric domain that may hold a VM. */
export const VM_HOME_KIND = 'vm-home';

/** Kind of the platform objects that name the fabric domain that may hold a replica. */
export const REPLICA_HOME_KIND = 'replica-home';

export const LEASE_DURATION_MS = 30_000;
export const LEASE_RENEWAL_MS = 8_000;

/** A holder stops acting this long before its lease ends. */
export const LEASE_MARGIN_MS = 3_000;

/** Longest time between sending an order and its effect at a target. */
export const LONGEST_ORDER_DELAY_MS = 5_000;

/** Largest allocation that is written; the platform holds values up to 1 MB. */
export const MAX_ALLOCATION_BYTES = 900_000;

/** Controllers that compete for the lease of one fabric domain. */
export const CANDIDATES_PER_DOMAIN = 3;
