/** Settings file that is read when `--settings` is not given. */
export const DEFAULT_SETTINGS_FILE = 'clementinefork.yaml';

/** Daemons that are asked at once. */
export const MAX_PARALLEL_CALLS = 32;

/** Period at which `status --wait` asks again. */
export const WAIT_PERIOD_MS = 500;

/** Time that `status --wait` waits; a change is in force everywhere within 20 s. */
export const DEFAULT_WAIT_S = 30;

/** Change records that `history` lists. */
export const DEFAULT_HISTORY_LENGTH = 20;

export const MS_PER_S = 1_000;
