/** Maximum number of addresses in an answer. */
export const MAX_NAMES = 64;
/**
 * Minimum number of addresses in an answer that does not name all: of a caller's addresses, one still
 * works if most gateways are lost at once.
 */
export const MIN_NAMES = 16;
/** Largest share of an answer that is in the caller's zone; the others outlive the loss of the zone. */
export const MAX_NEAR_SHARE = 0.5;
