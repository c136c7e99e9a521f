import type { Member } from '../rpc/index.ts';
import { KEPT_DIGESTS, KEPT_FETCHES, MAX_SKIPPED_DIGESTS } from './consts.ts';
import type { DocumentStore } from './types.ts';

/** Cache of digests that are known to cover nothing new; avoids needless fetches. */
export interface DigestRecord {
  /** Adds this daemon's own digest after a change of the store. */
  update(): void;
  /** Adds the digest that a member had at a complete fetch. */
  addFetched(member: Member, digest: bigint): void;
  /**
   * Tells whether a fetch from a member with this digest would return nothing new. The digest of a
   * complete fetch is skipped `MAX_SKIPPED_DIGESTS` times at most; each call counts.
   */
  hasNothingNew(member: Member, digest: bigint): boolean;
}

interface FetchedDigest {
  /** Instance at the fetch; a restarted member can reach the same digest without that fetch. */
  instance: bigint;
  digest: bigint;
  /** Number of packets with this digest since the fetch. */
  skips: number;
}

/** Deletes the oldest entries until the limit is met. */
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
export function createDigestRecord(store: Pick<DocumentStore, 'getDigest'>): DigestRecord {
  const own = new Set<bigint>([store.getDigest()]);
  const fetched = new Map<string, FetchedDigest>();
  return {
    update() {
      own.add(store.getDigest());
      removeOldest(own, KEPT_DIGESTS);
    },
    addFetched({ name, instance }, digest) {
      fetched.delete(name);
      fetched.set(name, { instance, digest, skips: 0 });
      removeOldest(fetched, KEPT_FETCHES);
    },
    hasNothingNew({ name, instance }, digest) {
      const known = fetched.get(name);
      if (own.has(digest)) return true;
      if (known?.instance !== instance || known.digest !== digest) return false;
      known.skips += 1;
      return known.skips <= MAX_SKIPPED_DIGESTS;
    },
  };
}
