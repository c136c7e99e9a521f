/** Lifetime of a slot after its grant or its last renewal. */
export const SLOT_LIFETIME_MS = 3_000;

/** Interval at which held slots are renewed. */
export const SLOT_RENEWAL_MS = 1_000;

/** Time for which slot requests are collected into one `GrantSlots` call. */
export const SLOT_BATCH_MS = 5;

export const GRANT_CALL_DEADLINE_MS = 800;

/**
 * Minimum remaining lifetime of a slot that is assigned to a request, so that the request reaches
 * the target before the slot expires.
 */
export const SLOT_SEND_MARGIN_MS = 1_000;

/**
 * Longest time after the expiry of a slot within which its request reaches the target. Request
 * counts that were sampled earlier may not include that request.
 */
export const REQUEST_SETTLE_MS = 500;

/**
 * Longest time for which daemons may still send requests without slots to a target that became
 * cold: the expiry of probe reports plus the deadline of the last status query that was answered.
 */
export const COLD_DETECTION_MS = 3_800;

/** Interval of status queries to cold targets whose slots are requested. */
export const GRANTER_QUERY_MS = 500;

/** Time without slot requests after which a target is no longer queried. */
export const GRANTER_IDLE_MS = 60_000;

/** Interval at which the granter checks whether its process was paused. */
export const PAUSE_CHECK_MS = 250;

/** A gap between two checks that is longer than this counts as a pause. */
export const PAUSE_GAP_MS = 1_000;

/** Time after a pause in which received lease reports may be old ones, buffered in the socket. */
export const PAUSE_SETTLE_MS = 1_000;
