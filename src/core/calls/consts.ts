/** Time for which a request id prefix is valid. */
export const PREFIX_LIFETIME_MS = 600_000;

/** Maximum size of a stored response body; a larger one is sent to the first caller only. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1_024;

/** Maximum total size of the stored response bodies; the oldest are dropped first. */
export const MAX_STORED_BYTES = 16 * 1_024 * 1_024;

/**
 * Maximum number of recorded ids. A record takes about 1 KB. 180 calls/s for the 600 s lifetime of a
 * prefix, spread over 410 daemons, are 264 records per daemon.
 */
export const MAX_LEDGER_RECORDS = 10_000;

/** Interval at which the records of expired ids are removed. */
export const LEDGER_SWEEP_INTERVAL_MS = 10_000;

/** Maximum number of targets tried for a non-idempotent call while no byte has been sent. */
export const MAX_CALL_TARGETS = 3;

/** Time added to the timeout of a forwarded call, for queueing and the network hop to the owner. */
export const FORWARD_MARGIN_MS = 7_000;

/** Deadline for the owner to reply to a lookup. */
export const LOOKUP_DEADLINE_MS = 3_000;

/** Retries that each idempotent call adds to the retry budget. */
export const RETRY_RATIO = 0.1;

/** Maximum number of unused retries in the budget. */
export const MAX_SAVED_RETRIES = 10;

/** Maximum number of attempts for one idempotent call. */
export const MAX_IDEMPOTENT_ATTEMPTS = 3;
