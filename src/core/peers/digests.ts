import type { TargetLoad } from '../fleet/index.ts';
import type { MemberTable } from './member-table.ts';
import type { Peer, PeerDigest, PeerPacket, PeerWork, RelayedMember } from './types.ts';

/** A packet and the monotonic time of its arrival. */
export interface ReceivedPacket {
  packet: PeerPacket;
  atMs: number;
}

/** How long the loads in a packet stay valid after its arrival. */
const WORK_MS = 1_500;
/** Maximum members in one packet, which keeps it small; later packets carry the rest in turn. */
const MEMBERS_PER_PACKET = 16;
/** How long digests report a lost gateway. */
const LOST_MS = 3_000;

/** Sums the requests in progress by target. */
export function computeTotalLoads(parts: readonly (readonly TargetLoad[])[]): TargetLoad[] {
  const totals = new Map<string, number>();
  for (const { targetId, inFlight } of parts.flat()) {
    totals.set(targetId, (totals.get(targetId) ?? 0) + inFlight);
  }
  return [...totals].map(([targetId, inFlight]) => ({ targetId, inFlight }));
}

/** Lists loads without suspect targets: requests stuck there show neither liveness nor load. */
function listLiveLoads({ loads, suspectIds }: PeerWork): TargetLoad[] {
  const silent = new Set(suspectIds);
  return loads.filter(({ targetId }) => !silent.has(targetId));
}

/** Aggregates the packets of other gateways and builds the digests that hubs send. */
export interface DigestBook {
  addPacket(packet: PeerPacket): void;
  removePeer(vmName: string): void;
  /** Records a lost gateway, so that digests tell other gateways to remove it too. */
  addLost(peer: Peer): void;
  /**
   * Combines the loads and suspects of all other gateways. `ownReported` holds the loads that this
   * gateway sent last; they are subtracted from a hub's totals.
   */
  computeOthersWork(ownReported: readonly TargetLoad[]): PeerWork;
  /** Builds the digest of this zone's other gateways, which is sent to the other hubs. */
  buildZoneDigest(isOfZone: (vmName: string) => boolean): PeerDigest;
  /** Builds the digest of all gateways, which is sent to the other gateways of this zone. */
  buildFleetDigest(ownWork: PeerWork): PeerDigest;
}

/** Options of the digest aggregator. */
export interface DigestBookOptions {
  table: MemberTable;
  availabilityZone: string;
  getMonotonicMs(): number;
}

/** Creates an empty aggregator. */
export function createDigestBook(options: DigestBookOptions): DigestBook {
  const { table, availabilityZone, getMonotonicMs } = options;
  const received = new Map<string, ReceivedPacket>();
  const lost = new Map<string, { peer: Peer; sinceMs: number }>();
  let cursor = 0;

  const listFresh = (): PeerPacket[] => {
    const now = getMonotonicMs();
    return [...received.values()]
      .filter(({ atMs }) => now - atMs <= WORK_MS)
      .map(({ packet }) => packet);
  };

  /** Lists the newest digest of each other zone only, since its hubs report the same gateways. */
  const listZoneDigests = (): PeerDigest[] => {
    const newest = new Map<string, ReceivedPacket>();
    const now = getMonotonicMs();
    for (const entry of received.values()) {
      const { sender, digest } = entry.packet;
      const isUsed = digest?.isComplete === false && now - entry.atMs <= WORK_MS;
      if (!isUsed || sender.availabilityZone === availabilityZone) continue;
      const known = newest.get(sender.availabilityZone);
      if (known === undefined || known.atMs < entry.atMs) {
        newest.set(sender.availabilityZone, entry);
      }
    }
    return [...newest.values()].flatMap(({ packet }) => packet.digest ?? []);
  };

  const findFleetDigest = (): PeerDigest | undefined => {
    const now = getMonotonicMs();
    const entries = [...received.values()].filter(
      ({ packet, atMs }) => packet.digest?.isComplete === true && now - atMs <= WORK_MS,
    );
    entries.sort((left, right) => right.atMs - left.atMs);
    return entries[0]?.packet.digest;
  };

  const listMembers = (isWanted: (vmName: string) => boolean): RelayedMember[] => {
    const now = getMonotonicMs();
    const peers = table.listPeers().filter(({ status }) => isWanted(status.vmName));
    // Always include the duty holder: gateways that hear of none compete for the duty.
    const holders = peers.filter(({ status }) => status.dutyTerm > 0);
    const rest = peers.filter(({ status }) => status.dutyTerm === 0);
    const part = Array.from(
      { length: Math.min(MEMBERS_PER_PACKET, rest.length) },
      (_, index) => rest[(cursor + index) % rest.length]!,
    );
    const members = [...holders, ...part].map(({ status, heardMs }) => ({
      status,
      ageMs: now - heardMs,
      isLost: false,
    }));
    for (const [name, { peer, sinceMs }] of lost) {
      if (now - sinceMs > LOST_MS) lost.delete(name);
      else if (isWanted(name)) {
        members.push({ status: peer.status, ageMs: now - sinceMs, isLost: true });
      }
    }
    return members;
  };

  const mergeWork = (works: readonly PeerWork[]): PeerWork => ({
    loads: computeTotalLoads(works.map(listLiveLoads)),
    suspectIds: [...new Set(works.flatMap(({ suspectIds }) => suspectIds))],
  });

  return {
    addPacket(packet) {
      received.set(packet.sender.vmName, { packet, atMs: getMonotonicMs() });
      lost.delete(packet.sender.vmName);
    },
    removePeer: (vmName) => {
      received.delete(vmName);
    },
    addLost(peer) {
      lost.set(peer.status.vmName, { peer, sinceMs: getMonotonicMs() });
    },
    computeOthersWork(ownReported) {
      const fleet = findFleetDigest();
      if (fleet === undefined) {
        return mergeWork([...listFresh().map(({ work }) => work), ...listZoneDigests()]);
      }
      const own = new Map(ownReported.map(({ targetId, inFlight }) => [targetId, inFlight]));
      const loads = fleet.loads.flatMap(({ targetId, inFlight }) => {
        const others = inFlight - (own.get(targetId) ?? 0);
        return others > 0 ? { targetId, inFlight: others } : [];
      });
      return { loads, suspectIds: fleet.suspectIds };
    },
    buildZoneDigest(isOfZone) {
      const leaves = listFresh().filter(({ sender }) => isOfZone(sender.vmName));
      const members = listMembers(isOfZone);
      cursor += MEMBERS_PER_PACKET;
      return { ...mergeWork(leaves.map(({ work }) => work)), members, isComplete: false };
    },
    buildFleetDigest(ownWork) {
      const works = [ownWork, ...listFresh().map(({ work }) => work), ...listZoneDigests()];
      return { ...mergeWork(works), members: listMembers(() => true), isComplete: true };
    },
  };
}
