/** Daemons that probe each target. */
export const PROBERS_PER_TARGET = 2;

export const PROBE_PERIOD_MS = 1_000;

/** Shorter than the period, so that a probe never waits behind an unanswered one. */
export const PROBE_DEADLINE_MS = 800;

/** A target without an answered probe for this time is unreachable. */
export const REPORT_EXPIRY_MS = 3_000;

/** Period at which load and unchanged reports are sent to subscribers. */
export const REPORT_FLUSH_MS = 500;

/** Relative change of a load figure that is reported before the next refresh. */
export const LOAD_CHANGE_SHARE = 0.1;

/** Time before a broken subscription is opened again. */
export const WATCH_RETRY_MS = 500;

/**
 * A stream whose messages stopped for this time is opened again, because the message after the gap
 * may have waited since its beginning. Reports therefore seem newer than they are by at most this
 * time, and only after a pause or a partition; reports come every second otherwise.
 */
export const WATCH_GAP_MS = 2_000;

/** Largest status answer that is read. */
export const MAX_STATUS_BYTES = 65_536;
