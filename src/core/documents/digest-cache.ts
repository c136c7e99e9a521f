import type { Member } from '../rpc/index.ts';
import { MAX_KEPT_DIGESTS, MAX_KEPT_FETCHES, MAX_SKIPPED_DIGESTS } from './consts.ts';
import type { DocumentStore } from './types.ts';

/** Cache of digests that are known to cover nothing new; avoids needless fetches. */
export interface DigestCache {
  /** Adds this daemon's own digest after a change of the store. */
  addOwnDigest(): void;
  /** Adds the digest that a member had at a complete fetch. */
  addFetchedDigest(member: Member, digest: bigint): void;
  /**
   * Tells whether a fetch from a member with this digest would bring nothing. The digest of a
   * complete fetch is skipped `MAX_SKIPPED_DIGESTS` times at most; each call counts.
   */
  hasNothingNew(member: Member, digest: bigint): boolean;
}

interface FetchedDigest {
  /** A restarted member can reach the same digest again without having held it at the fetch. */
  instance: bigint;
  digest: bigint;
  /** Packets with this digest since the fetch. */
  skipCount: number;
}

/** Deletes the oldest entries past the limit. */
function removeOldest(entries: Map<unknown, unknown> | Set<unknown>, limit: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= limit) return;
    entries.delete(key);
  }
}

/**
 * Creates the digest cache of a store. Cached digests stay valid because a copy is never replaced
 * by an older version.
 */
export function createDigestCache(store: Pick<DocumentStore, 'getDigest'>): DigestCache {
  const ownDigests = new Set<bigint>([store.getDigest()]);
  const fetchedDigests = new Map<string, FetchedDigest>();
  return {
    addOwnDigest() {
      ownDigests.add(store.getDigest());
      removeOldest(ownDigests, MAX_KEPT_DIGESTS);
    },
    addFetchedDigest({ name, instance }, digest) {
      fetchedDigests.delete(name);
      fetchedDigests.set(name, { instance, digest, skipCount: 0 });
      removeOldest(fetchedDigests, MAX_KEPT_FETCHES);
    },
    hasNothingNew({ name, instance }, digest) {
      const known = fetchedDigests.get(name);
      if (ownDigests.has(digest)) return true;
      if (known?.instance !== instance || known.digest !== digest) return false;
      known.skipCount += 1;
      return known.skipCount <= MAX_SKIPPED_DIGESTS;
    },
  };
}
