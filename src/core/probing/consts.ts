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

/** Largest status answer that is read. */
export const MAX_STATUS_BYTES = 65_536;
