/** Earlier versions of a document that are kept as the base of differences. */
export const KEPT_VERSIONS = 4;

/** Deadline of one fetch from a peer; the next digest that differs starts another one. */
export const FETCH_DEADLINE_MS = 2_000;

/**
 * Own earlier digests that are remembered. A member that still has one of them holds nothing new,
 * so no fetch is needed; 16 cover the changes that arrive while a version spreads.
 */
export const KEPT_DIGESTS = 16;

/** Members whose digest at the last complete fetch is remembered; the oldest is dropped first. */
export const KEPT_FETCHES = 64;

/**
 * Packets with the digest of the last complete fetch that start no other fetch. A late packet of an
 * earlier process of the member can make that fetch bring nothing, so it must not count for good.
 */
export const MAX_SKIPPED_DIGESTS = 4;
