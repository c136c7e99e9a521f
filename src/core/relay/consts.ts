/** Daemons of each availability zone that watch the platform. */
export const RELAYS_PER_ZONE = 2;

/**
 * A daemon watches only after it was selected for this time. A daemon that starts knows no others
 * at first, and a fleet that starts at once would otherwise watch as a whole.
 */
export const STEP_IN_DELAY_MS = 3_000;

/**
 * Shortest time between the starts of two watch calls of a kind. Lease renewals of 75 fabric
 * domains would otherwise wake every relay about 9 times a second, and each call counts.
 */
export const WATCH_SPACING_MS = 500;

/**
 * Longest wait of one watch call; the platform answers earlier when something changes. Connections
 * can go silent at all relays at once, and a change must then still be in force within 20 s.
 */
export const WATCH_TIMEOUT_MS = 10_000;

/** A watch that has not ended this long after its timeout is given up. */
export const WATCH_GRACE_MS = 2_000;

/** Shortest wait after a failed call. */
export const SHORTEST_BACKOFF_MS = 250;

/** First wait after a failed call; it doubles up to the longest wait. */
export const FIRST_BACKOFF_MS = 500;

/**
 * Longest wait between attempts in an outage. With the fan-out it leaves the configuration in force
 * everywhere well within 20 s of the platform's return.
 */
export const LONGEST_BACKOFF_MS = 8_000;
