/** Settings file that is read when `--settings` is not given. */
export const DEFAULT_SETTINGS_FILE = 'clementinefork.yaml';

/** Maximum number of daemons that are called concurrently. */
export const MAX_PARALLEL_CALLS = 32;

/** Polling interval of `status --wait`. */
export const WAIT_PERIOD_MS = 500;

/** Default timeout of `status --wait`; a change reaches every daemon within 20 s. */
export const DEFAULT_WAIT_S = 30;

/** Number of change records that `history` lists by default. */
export const DEFAULT_HISTORY_LENGTH = 20;

export const MS_PER_S = 1_000;
