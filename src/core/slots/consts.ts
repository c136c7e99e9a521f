/** Lifetime of a slot unless it is renewed. */
export const SLOT_LIFETIME_MS = 3_000;

/** Period at which held slots are renewed. */
export const SLOT_RENEWAL_MS = 1_000;

/** Time for which requests for slots are collected into one call. */
export const SLOT_BATCH_MS = 5;

export const GRANT_CALL_DEADLINE_MS = 800;

/** A slot is only given to a request that can reach the target before the slot expires. */
export const SLOT_SEND_MARGIN_MS = 1_000;

/**
 * A request that left before its slot expired reaches the target within this time; load figures
 * taken earlier may miss it.
 */
export const REQUEST_SETTLE_MS = 500;

/**
 * Time for which daemons may still send requests without slots to a target that turned cold: the
 * expiry of reports and the deadline of the query that was answered last.
 */
export const WARM_EVIDENCE_MS = 3_800;

/** Period of status queries to cold targets whose slots are in use. */
export const GRANTER_QUERY_MS = 500;

/** Time without requests for slots after which a target is no longer queried. */
export const GRANTER_IDLE_MS = 60_000;

/** Period at which the granter notices that its process was paused. */
export const PAUSE_CHECK_MS = 250;

/** A gap this long between two checks is a pause. */
export const PAUSE_GAP_MS = 1_000;

/** Time after a pause in which lease reports may be old ones that waited in the socket. */
export const PAUSE_SETTLE_MS = 1_000;
