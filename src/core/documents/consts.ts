/** Maximum number of earlier versions of a document that are kept as base versions of deltas. */
export const MAX_KEPT_VERSIONS = 4;

/** Deadline of a fetch from a peer; after a failure the next differing digest starts another. */
export const FETCH_DEADLINE_MS = 2_000;

/**
 * Maximum number of this daemon's own digests that are kept. A member that still has one of them
 * holds nothing new, so no fetch is needed; 16 cover the changes that arrive while a version
 * propagates.
 */
export const MAX_KEPT_DIGESTS = 16;

/**
 * Maximum number of members whose digest at the last complete fetch is kept; oldest evicted first.
 */
export const MAX_KEPT_FETCHES = 64;

/**
 * Number of packets with the digest of the last complete fetch that are skipped before another
 * fetch. The digest may come from a late packet of an earlier process of the member, and the fetch
 * from the restarted process then returned nothing, so the digest must not be skipped forever.
 */
export const MAX_SKIPPED_DIGESTS = 4;
