/** Number of daemons that probe each target. */
export const PROBERS_PER_TARGET = 2;

/** Period at which a prober queries the status of a target. */
export const PROBE_PERIOD_MS = 1_000;

/** Timeout of a probe; shorter than the period, so that no probe waits behind an unanswered one. */
export const PROBE_DEADLINE_MS = 800;

/** Time without a valid probe response after which a target counts as unreachable. */
export const REPORT_EXPIRY_MS = 3_000;

/** Period at which load changes and refreshes of unchanged reports are sent to subscribers. */
export const REPORT_FLUSH_MS = 500;

/** Relative change of a load value above which the full report is sent instead of a refresh. */
export const LOAD_CHANGE_FRACTION = 0.1;

/** Delay before a broken subscription is reopened. */
export const WATCH_RETRY_MS = 500;

/**
 * Gap between messages after which a subscription is reopened, because the next message may have
 * been buffered since the start of the gap. Reports therefore appear newer than they are by at most
 * this time, and only after a pause or a network partition; normally they arrive every second.
 */
export const WATCH_GAP_MS = 2_000;

/** Maximum size of a status response, in bytes. */
export const MAX_STATUS_BYTES = 65_536;
