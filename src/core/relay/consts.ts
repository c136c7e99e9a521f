/** Number of daemons in each availability zone that watch the platform. */
export const RELAYS_PER_ZONE = 2;

/**
 * Time that a daemon must be selected as a relay before it starts to watch. A starting daemon knows
 * no other members and selects itself, so that without the delay all daemons of a fleet that start
 * simultaneously would watch.
 */
export const ACTIVATION_DELAY_MS = 3_000;

/**
 * Minimum time between the starts of two watch calls of a kind. Otherwise the lease renewals of 75
 * fabric domains would end the watch of every relay about 9 times a second, and each new call adds
 * load to the platform.
 */
export const WATCH_SPACING_MS = 500;

/**
 * Timeout of one watch call; the platform responds earlier when something changes. The connections
 * of all relays can stop responding simultaneously, and even then a change must reach all daemons
 * within 20 s.
 */
export const WATCH_TIMEOUT_MS = 10_000;

/** Grace period after the timeout of a watch; the call is then aborted. */
export const WATCH_GRACE_MS = 2_000;

/** Minimum delay after a failed call. */
export const SHORTEST_BACKOFF_MS = 250;

/** Backoff after the first failed call; doubles up to `LONGEST_BACKOFF_MS`. */
export const FIRST_BACKOFF_MS = 500;

/**
 * Maximum backoff between attempts in an outage. Including the propagation to all daemons, it lets
 * a configuration reach every daemon well within 20 s after the platform recovers.
 */
export const LONGEST_BACKOFF_MS = 8_000;
