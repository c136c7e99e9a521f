/** Lifetime of a request id prefix. */
export const PREFIX_LIFETIME_MS = 600_000;

/** Largest answer that the ledger keeps; a larger one is passed on once. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1_024;

/** Most bytes of stored answers; the oldest are dropped first. */
export const MAX_STORED_BYTES = 16 * 1_024 * 1_024;

/** Most ids remembered. One takes about 1 KB; 180 calls/s for 600 s over 410 daemons are 264. */
export const MAX_LEDGER_RECORDS = 10_000;

/** Period at which expired ids are forgotten. */
export const LEDGER_SWEEP_MS = 10_000;

/** Targets that a call is tried at while no byte has left. */
export const MAX_CALL_TARGETS = 3;

/** Time for queueing and for the way to the owner, beyond the timeout of a call. */
export const FORWARD_MARGIN_MS = 7_000;

/** Longest time for an owner to look an outcome up. */
export const LOOKUP_DEADLINE_MS = 3_000;

/** Retries of idempotent calls that each call earns, and the most that can be saved up. */
export const RETRY_RATIO = 0.1;
export const MAX_SAVED_RETRIES = 10;

/** Attempts of one idempotent call. */
export const MAX_IDEMPOTENT_ATTEMPTS = 3;
