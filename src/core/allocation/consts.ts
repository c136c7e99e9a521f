/** Kind of the platform objects that hold the allocation of one fabric domain each. */
export const ALLOCATION_KIND = 'allocation';

/** Kind of the platform objects that record the only fabric domain that may hold a VM. */
export const VM_HOME_KIND = 'vm-home';

/** Kind of the platform objects that record the only fabric domain that may hold a replica. */
export const REPLICA_HOME_KIND = 'replica-home';

export const LEASE_DURATION_MS = 30_000;
export const LEASE_RENEWAL_MS = 8_000;

/** A lease holder stops writing and sending orders this long before its lease expires. */
export const LEASE_MARGIN_MS = 3_000;

/** Longest time between sending an order to an engine and the order taking effect there. */
export const LONGEST_ORDER_DELAY_MS = 5_000;

/** Maximum size of a written allocation; the platform stores values of up to 1 MB. */
export const MAX_ALLOCATION_BYTES = 900_000;

/** Number of controllers that compete for the lease of one fabric domain. */
export const CANDIDATES_PER_DOMAIN = 3;
