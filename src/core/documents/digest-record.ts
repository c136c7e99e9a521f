import type { Member } from '../rpc/index.ts';
import { KEPT_DIGESTS, KEPT_FETCHES, MAX_SKIPPED_DIGESTS } from './consts.ts';
import type { DocumentStore } from './types.ts';

/** Digests of members that are known to hold nothing new. */
export interface DigestRecord {
  /** Remembers the own digest after a change of the store. */
  update(): void;
  /** Remembers the digest that a member had at a complete fetch. */
  addFetched(member: Member, digest: bigint): void;
  /**
   * Tells whether a fetch from a member with this digest would bring nothing. A remembered
   * fetch counts for a few packets only.
   */
  hasNothingNew(member: Member, digest: bigint): boolean;
}

interface FetchedDigest {
  /** A restarted member can reach the same digest again without having held it at the fetch. */
  instance: bigint;
  digest: bigint;
  /** Packets with this digest since the fetch. */
  skips: number;
}

/** Drops the oldest entries past the limit. */
function removeOldest(entries: Map<unknown, unknown> | Set<unknown>, limit: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= limit) return;
    entries.delete(key);
  }
}

/** Creates the record of a store; copies are never replaced by older ones, so digests stay valid. */
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
