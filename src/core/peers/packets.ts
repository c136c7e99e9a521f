import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { TargetLoad } from '../fleet/index.ts';
import type { FeedChange, FeedProgress } from '../store-feed/index.ts';
import type {
  GatewayDigest,
  GatewayMember,
  StoreProgress,
} from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import {
  GatewayPacketSchema,
  GatewayState,
} from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import type { StoreObject } from '../store/index.ts';
import { StoreKind } from '../store/index.ts';
import { parseAddress } from './address.ts';
import type { PeerDigest, PeerPacket, PeerStatus, RelayedPeer } from './types.ts';
import { PeerState } from './types.ts';

const WIRE_STATE: Readonly<Record<PeerState, GatewayState>> = {
  [PeerState.Starting]: GatewayState.STARTING,
  [PeerState.Ready]: GatewayState.READY,
  [PeerState.Leaving]: GatewayState.LEAVING,
};

/** Maximum bytes of one kind's changes in a packet; a configuration with many routes exceeds it. */
const MAX_CHANGES_BYTES = 16_384;

const STORE_KINDS: ReadonlySet<string> = new Set(Object.values(StoreKind));

function decodeState(state: GatewayState): PeerState {
  if (state === GatewayState.READY) return PeerState.Ready;
  return state === GatewayState.LEAVING ? PeerState.Leaving : PeerState.Starting;
}

const MAX_UINT32 = 0xffff_ffff;

/** Rounds to an unsigned 32-bit integer; values outside its range, and NaN, become the nearest bound. */
function toUint32(value: number): number {
  return value >= 0 ? Math.round(Math.min(value, MAX_UINT32)) : 0;
}

function toWireLoads(loads: readonly TargetLoad[]): TargetLoad[] {
  return loads.map(({ targetId, inFlight }) => ({ targetId, inFlight: toUint32(inFlight) }));
}

function toWirePeer(status: PeerStatus, ageMs = 0, isLost = false) {
  return {
    ...status,
    incarnation: BigInt(status.incarnation),
    dutyTerm: BigInt(status.dutyTerm),
    state: WIRE_STATE[status.state],
    capacity: toUint32(status.capacity),
    ageMs: toUint32(ageMs),
    isLost,
  };
}

/** Caches encoded specs, since each goes into several packets. */
const encodedSpecs = new WeakMap<StoreObject, Uint8Array>();

function encodeSpec(object: StoreObject): Uint8Array {
  const known = encodedSpecs.get(object);
  if (known !== undefined) return known;
  const bytes = Buffer.from(JSON.stringify(object.spec ?? null));
  encodedSpecs.set(object, bytes);
  return bytes;
}

function toWireChange({ object, isDeleted, readRevision }: FeedChange) {
  return {
    name: object.name,
    revision: BigInt(object.revision),
    isDeleted,
    spec: isDeleted ? new Uint8Array() : encodeSpec(object),
    readRevision: BigInt(readRevision),
  };
}

function toWireProgress(progress: FeedProgress) {
  const changes = progress.changes.map(toWireChange);
  const bytes = changes.reduce((total, { spec }) => total + spec.length, 0);
  const isTooLarge = bytes > MAX_CHANGES_BYTES;
  return {
    kind: progress.kind,
    revision: BigInt(progress.revision),
    changedRevision: BigInt(progress.changedRevision),
    ageMs: toUint32(progress.ageMs),
    // Receivers read omitted changes from the store.
    sinceRevision: BigInt(isTooLarge ? progress.changedRevision : progress.sinceRevision),
    changes: isTooLarge ? [] : changes,
  };
}

/** Encodes a packet as a datagram. */
export function encodePacket({ sender, loadReport, digest, progress }: PeerPacket): Uint8Array {
  return toBinary(
    GatewayPacketSchema,
    create(GatewayPacketSchema, {
      sender: toWirePeer(sender),
      loads: toWireLoads(loadReport.loads),
      suspectIds: loadReport.suspectIds,
      ...(digest && {
        digest: {
          members: digest.peers.map((peer) => toWirePeer(peer.status, peer.ageMs, peer.isLost)),
          loads: toWireLoads(digest.loads),
          suspectIds: digest.suspectIds,
          isComplete: digest.isComplete,
        },
      }),
      progress: progress.map(toWireProgress),
    }),
  );
}

function decodeStatus(member: GatewayMember): PeerStatus {
  if (parseAddress(member.peerAddress) === undefined) {
    throw new TypeError('the address of a gateway is invalid');
  }
  return {
    vmName: member.vmName,
    incarnation: Number(member.incarnation),
    callersAddress: member.callersAddress,
    peerAddress: member.peerAddress,
    availabilityZone: member.availabilityZone,
    capacity: member.capacity,
    state: decodeState(member.state),
    hasRequests: member.hasRequests,
    dutyTerm: Number(member.dutyTerm),
  };
}

function decodePeer(member: GatewayMember): RelayedPeer {
  return { status: decodeStatus(member), ageMs: member.ageMs, isLost: member.isLost };
}

function decodeDigest(digest: GatewayDigest): PeerDigest {
  return {
    peers: digest.members.map(decodePeer),
    loads: digest.loads.map(({ targetId, inFlight }) => ({ targetId, inFlight })),
    suspectIds: digest.suspectIds,
    isComplete: digest.isComplete,
  };
}

function decodeProgress(progress: StoreProgress): FeedProgress[] {
  // A later release may send kinds that this release does not know.
  if (!STORE_KINDS.has(progress.kind)) return [];
  return [
    {
      kind: progress.kind as StoreKind,
      revision: Number(progress.revision),
      changedRevision: Number(progress.changedRevision),
      ageMs: progress.ageMs,
      sinceRevision: Number(progress.sinceRevision),
      changes: progress.changes.map((change) => ({
        object: {
          name: change.name,
          revision: Number(change.revision),
          // Parsed lazily: most packets repeat changes that have already been applied.
          get spec(): unknown {
            return change.isDeleted ? null : JSON.parse(Buffer.from(change.spec).toString());
          },
          status: undefined,
        },
        isDeleted: change.isDeleted,
        readRevision: Number(change.readRevision),
      })),
    },
  ];
}

/** Decodes a datagram; throws if it is not a valid gateway packet. */
export function decodePacket(bytes: Uint8Array): PeerPacket {
  const packet = fromBinary(GatewayPacketSchema, bytes);
  if (packet.sender === undefined) throw new TypeError('the packet has no sender');
  return {
    sender: decodeStatus(packet.sender),
    loadReport: {
      loads: packet.loads.map(({ targetId, inFlight }) => ({ targetId, inFlight })),
      suspectIds: packet.suspectIds,
    },
    digest: packet.digest && decodeDigest(packet.digest),
    progress: packet.progress.flatMap(decodeProgress),
  };
}
