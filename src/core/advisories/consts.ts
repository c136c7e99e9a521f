/** Time over which the requests to a target are counted, for logs. */
export const SEND_WINDOW_MS = 4_000;
/**
 * Time for which a gateway may use a turn that has come. Within any 4 s, a target then gets at most
 * the requests of 5.5 s.
 */
export const TURN_LIFETIME_MS = 1_500;
/**
 * Rate at which a target is tried that takes fewer requests or none: only a response can tell that
 * its limit is over.
 */
export const MIN_REQUESTS_PER_SECOND = 0.25;
/** Longest time for which a target is asked nothing; a longer one is taken for a mistake. */
export const MAX_PAUSE_MS = 600_000;
/** Pauses that a gateway remembers. */
export const MAX_PAUSES = 4_096;
/** Limits in one packet; those that changed last come first, the rest takes turns. */
export const MAX_NOTICES = 64;
/** Limits that a gateway remembers. */
export const MAX_LIMITS = 4_096;
/** Period at which limits of targets that have no entry any more are forgotten. */
export const SWEEP_PERIOD_MS = 30_000;
