import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { TargetLoad } from '../fleet/index.ts';
import type { GatewayUsage } from '../duties/index.ts';
import type { FeedProgress } from '../store-feed/index.ts';
import type { Demand } from '../placement/index.ts';
import type {
  GatewayDemand,
  GatewayDigest,
  GatewayMember,
  StoreProgress,
} from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import {
  GatewayPacketSchema,
  GatewayState,
} from '../rpc/generated/clementinefork/v1/gateway_pb.ts';
import { StoreKind } from '../store/index.ts';
import { decodeChanges, encodeProgress } from './change-codec.ts';
import { decodeLimit, encodeLimit } from './limit-codec.ts';
import { decodeEvidence, encodeEvidence } from './evidence-codec.ts';
import { decodeUsage, encodeUsage } from './usage-codec.ts';
import { parseAddress } from './address.ts';
import { MAX_DATAGRAM_BYTES, MAX_NAME_LENGTH } from './consts.ts';
import { toUint32, toUint53 } from './uint32.ts';
import type { PeerDigest, PeerPacket, PeerStatus, RelayedPeer } from './types.ts';
import { PeerState } from './types.ts';

const WIRE_STATE: Readonly<Record<PeerState, GatewayState>> = {
  [PeerState.Starting]: GatewayState.STARTING,
  [PeerState.Ready]: GatewayState.READY,
  [PeerState.Leaving]: GatewayState.LEAVING,
};

/** Maximum bytes of the changes of all kinds in a packet. */
const MAX_CHANGES_BYTES = 40_000;
/** Bytes of the progress of all kinds without changes. */
const PROGRESS_HEAD_BYTES = 500;

const STORE_KINDS: ReadonlySet<string> = new Set(Object.values(StoreKind));

function decodeState(state: GatewayState): PeerState {
  if (state === GatewayState.READY) return PeerState.Ready;
  return state === GatewayState.LEAVING ? PeerState.Leaving : PeerState.Starting;
}

function toWireLoads(loads: readonly TargetLoad[]): TargetLoad[] {
  return loads.map(({ targetId, inFlight }) => ({ targetId, inFlight: toUint32(inFlight) }));
}

const SECONDS_PER_KILOSECOND = 1_000;

function toWireDemands(demands: readonly Demand[]) {
  return demands.map((demand) => ({
    key: demand.key,
    perKilosecond: toUint32(demand.requestsPerSecond * SECONDS_PER_KILOSECOND),
    promptTokensPerSecond: toUint32(demand.promptTokensPerSecond),
    answersPerKilosecond: toUint32(demand.answersPerSecond * SECONDS_PER_KILOSECOND),
    eventsPerKilosecond: toUint32(demand.eventsPerSecond * SECONDS_PER_KILOSECOND),
  }));
}

function decodeDemands(demands: readonly GatewayDemand[]): Demand[] {
  return demands.map((demand) => ({
    key: demand.key,
    requestsPerSecond: demand.perKilosecond / SECONDS_PER_KILOSECOND,
    promptTokensPerSecond: demand.promptTokensPerSecond,
    answersPerSecond: demand.answersPerKilosecond / SECONDS_PER_KILOSECOND,
    eventsPerSecond: demand.eventsPerKilosecond / SECONDS_PER_KILOSECOND,
  }));
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

/** Encodes the progress of all kinds, with changes as far as they fit into `maxBytes`. */
function encodeAllProgress(progress: readonly FeedProgress[], maxBytes: number): Uint8Array {
  let changeBytes = 0;
  const encodedProgress = progress.map((one) => {
    const encoded = encodeProgress(one, maxBytes - changeBytes);
    changeBytes += encoded.compressedChanges.length;
    return encoded;
  });
  return toBinary(GatewayPacketSchema, create(GatewayPacketSchema, { progress: encodedProgress }));
}

/** Encodes counts; leaves them out if they do not fit, as they are sent again soon. */
function encodeAllUsage(usage: readonly GatewayUsage[], maxBytes: number): Uint8Array {
  if (usage.length === 0) return new Uint8Array();
  const message = create(GatewayPacketSchema, { usage: usage.map(encodeUsage) });
  const bytes = toBinary(GatewayPacketSchema, message);
  return bytes.length > maxBytes ? new Uint8Array() : bytes;
}

/**
 * Encodes a packet as a datagram. Counts of usage and changes of the store give way to everything
 * else.
 */
export function encodePacket(packet: PeerPacket): Uint8Array {
  const { sender, loadReport, digest, evidence, advisories, fleetMs, usage, progress } = packet;
  const state = toBinary(
    GatewayPacketSchema,
    create(GatewayPacketSchema, {
      sender: toWirePeer(sender),
      loads: toWireLoads(loadReport.loads),
      suspectIds: loadReport.suspectIds,
      demands: toWireDemands(loadReport.demands),
      ...(digest && {
        digest: {
          members: digest.peers.map((peer) => toWirePeer(peer.status, peer.ageMs, peer.isLost)),
          loads: toWireLoads(digest.loads),
          suspectIds: digest.suspectIds,
          demands: toWireDemands(digest.demands),
          isComplete: digest.isComplete,
        },
      }),
      ...encodeEvidence(evidence),
      fleetMs: toUint53(fleetMs),
      limits: advisories.limits.map(encodeLimit),
      leavingTargetKeys: [...advisories.leavingKeys],
    }),
  );
  const freeBytes = MAX_DATAGRAM_BYTES - state.length - PROGRESS_HEAD_BYTES;
  const encodedUsage = encodeAllUsage(usage, freeBytes);
  const restBytes = freeBytes - encodedUsage.length;
  // The encodings of parts of a message, one after the other, are that of the whole message.
  return Buffer.concat([
    state,
    encodedUsage,
    encodeAllProgress(progress, Math.min(MAX_CHANGES_BYTES, restBytes)),
  ]);
}

function decodeStatus(member: GatewayMember): PeerStatus {
  const { vmName, callersAddress, peerAddress, availabilityZone } = member;
  const names = [vmName, callersAddress, peerAddress, availabilityZone];
  if (names.some(({ length }) => length > MAX_NAME_LENGTH)) {
    throw new RangeError(`a name has more than ${MAX_NAME_LENGTH} characters`);
  }
  if (parseAddress(peerAddress) === undefined) {
    throw new TypeError('the address of a gateway is invalid');
  }
  return {
    vmName,
    incarnation: Number(member.incarnation),
    callersAddress,
    peerAddress,
    availabilityZone,
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
    demands: decodeDemands(digest.demands),
    isComplete: digest.isComplete,
  };
}

function decodeProgress(progress: StoreProgress): FeedProgress[] {
  // A later release may send kinds that this release does not know.
  if (!STORE_KINDS.has(progress.kind)) return [];
  return [
    {
      kind: progress.kind as StoreKind,
      era: Number(progress.era),
      revision: Number(progress.revision),
      changedRevision: Number(progress.changedRevision),
      ageMs: progress.ageMs,
      sinceRevision: Number(progress.sinceRevision),
      // Decoded lazily: most packets repeat changes that have already been applied.
      get changes() {
        return decodeChanges(progress);
      },
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
      demands: decodeDemands(packet.demands),
    },
    digest: packet.digest && decodeDigest(packet.digest),
    evidence: decodeEvidence(packet.evidence),
    advisories: {
      limits: packet.limits.map(decodeLimit),
      leavingKeys: packet.leavingTargetKeys,
    },
    fleetMs: Number(packet.fleetMs),
    usage: packet.usage.map(decodeUsage),
    progress: packet.progress.flatMap(decodeProgress),
  };
}
