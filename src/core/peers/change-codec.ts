import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { StoreChange, StoreProgress } from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import { StoreChangesSchema } from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import type { FeedChange, FeedProgress } from '../store-feed/index.ts';
import type { StoreObject } from '../store/index.ts';
import { toUint32, toUint53 } from './uint32.ts';

/**
 * Entries of targets compress to about a tenth at any level; the lowest one takes the least processor
 * time of a hub.
 */
const DEFLATE_LEVEL = 1;
/** Limit on the decoded changes of one kind, so that a malformed packet cannot fill the memory. */
const MAX_INFLATED_BYTES = 4 * 1024 * 1024;

/** Caches encoded specs, since each goes into several packets. */
const encodedSpecs = new WeakMap<StoreObject, Uint8Array>();

function encodeSpec(object: StoreObject): Uint8Array {
  const known = encodedSpecs.get(object);
  if (known !== undefined) return known;
  const bytes = Buffer.from(JSON.stringify(object.spec ?? null));
  encodedSpecs.set(object, bytes);
  return bytes;
}

/** Returns the last change of each object, in the order of these changes. */
function selectLastChanges(changes: readonly FeedChange[]): FeedChange[] {
  const last = new Map(changes.map((change) => [change.object.name, change]));
  return changes.filter((change) => last.get(change.object.name) === change);
}

/** Caches compressed changes, since the same progress goes into the packets to hubs and to leaves. */
const compressedChanges = new WeakMap<FeedProgress, Uint8Array>();

function compressChanges(progress: FeedProgress): Uint8Array {
  if (progress.changes.length === 0) return new Uint8Array();
  const known = compressedChanges.get(progress);
  if (known !== undefined) return known;
  const changes = selectLastChanges(progress.changes).map(
    ({ object, isDeleted, readRevision }) => ({
      name: object.name,
      revision: BigInt(object.revision),
      isDeleted,
      spec: isDeleted ? new Uint8Array() : encodeSpec(object),
      readRevision: BigInt(readRevision),
    }),
  );
  const bytes = toBinary(StoreChangesSchema, create(StoreChangesSchema, { changes }));
  const compressed = deflateRawSync(bytes, { level: DEFLATE_LEVEL });
  compressedChanges.set(progress, compressed);
  return compressed;
}

/**
 * Encodes the progress of one kind. Changes that take more than `maxBytes` are left out; receivers
 * that miss them read the store.
 */
export function encodeProgress(progress: FeedProgress, maxBytes: number) {
  const compressed = compressChanges(progress);
  const isTooLarge = compressed.length > maxBytes;
  return {
    kind: progress.kind,
    era: toUint53(progress.era),
    revision: BigInt(progress.revision),
    changedRevision: BigInt(progress.changedRevision),
    ageMs: toUint32(progress.ageMs),
    sinceRevision: BigInt(isTooLarge ? progress.changedRevision : progress.sinceRevision),
    compressedChanges: isTooLarge ? new Uint8Array() : compressed,
  };
}

function decodeChange(change: StoreChange): FeedChange {
  return {
    object: {
      name: change.name,
      revision: Number(change.revision),
      spec: change.isDeleted ? null : JSON.parse(Buffer.from(change.spec).toString()),
      status: undefined,
    },
    isDeleted: change.isDeleted,
    readRevision: Number(change.readRevision),
  };
}

/** Decodes the changes in a progress message; throws if they are malformed. */
export function decodeChanges(progress: StoreProgress): FeedChange[] {
  if (progress.compressedChanges.length === 0) return progress.changes.map(decodeChange);
  const bytes = inflateRawSync(progress.compressedChanges, { maxOutputLength: MAX_INFLATED_BYTES });
  return fromBinary(StoreChangesSchema, bytes).changes.map(decodeChange);
}
