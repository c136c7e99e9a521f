import type { Allocation } from '../allocation/index.ts';
import type { Configuration } from '../declarations/index.ts';
import type { Document, DocumentVersion } from '../rpc/generated/clementinefork/v1/peer_pb.ts';

/** A value with the version that the platform gave to it. */
export interface Versioned<Value> {
  version: number;
  value: Value;
}

/** Copies of platform objects in one daemon; a copy is never replaced by an older version. */
export interface DocumentStore {
  getConfiguration(): Versioned<Configuration> | undefined;
  listAllocations(): Versioned<Allocation>[];
  listVersions(): DocumentVersion[];
  /** Hash over all versions; equal digests mean equal copies. */
  getDigest(): bigint;
  /** Adds a document; returns false when it is not newer or does not match its hash. */
  applyDocument(document: Document): boolean;
  /** Returns what a peer with these versions lacks. */
  listDocumentsSince(held: readonly DocumentVersion[]): Document[];
  /** Calls the listener after each accepted document. */
  subscribe(listener: (version: DocumentVersion) => void): () => void;
}
