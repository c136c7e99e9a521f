import type { Allocation } from '../allocation/index.ts';
import type { Configuration } from '../declarations/index.ts';
import type { Document, DocumentVersion } from '../rpc/generated/clementinefork/v1/peer_pb.ts';

/** A value with its version in the object API of the platform. */
export interface Versioned<Value> {
  version: number;
  value: Value;
}

/** Store of a daemon's copies of platform objects; older versions never replace a copy. */
export interface DocumentStore {
  getConfiguration(): Versioned<Configuration> | undefined;
  listAllocations(): Versioned<Allocation>[];
  listVersions(): DocumentVersion[];
  /** Returns a hash over all names and versions; equal digests mean equal copies. */
  getDigest(): bigint;
  /** Adds a document; returns false if it is not newer or is invalid. */
  applyDocument(document: Document): boolean;
  /** Returns documents newer than the versions that a peer holds, as deltas where possible. */
  listDocumentsSince(held: readonly DocumentVersion[]): Document[];
  /** Calls the listener after each accepted document; returns a function that unsubscribes. */
  subscribe(listener: (version: DocumentVersion) => void): () => void;
}
