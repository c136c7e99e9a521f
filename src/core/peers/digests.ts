import type { TargetLoad } from '../fleet/index.ts';
import { computeRemainingDemands, sumDemands } from '../placement/index.ts';
import type { PeerTable } from './peer-table.ts';
import type { Peer, PeerDigest, PeerPacket, PeerLoadReport, RelayedPeer } from './types.ts';

/** A packet and the monotonic time of its arrival. */
export interface ReceivedPacket {
  packet: PeerPacket;
  receivedMs: number;
}

/** How long the loads in a packet stay valid after its arrival. */
const LOAD_REPORT_LIFETIME_MS = 1_500;
/** Maximum gateways in one packet, which keeps it small; later packets carry the rest in turn. */
const MAX_PEERS_PER_PACKET = 16;
/** How long digests report a lost gateway. */
const LOST_REPORT_MS = 3_000;

/** Sums the requests in progress by target. */
export function computeTotalLoads(loadLists: readonly (readonly TargetLoad[])[]): TargetLoad[] {
  const totals = new Map<string, number>();
  for (const { targetId, inFlight } of loadLists.flat()) {
    totals.set(targetId, (totals.get(targetId) ?? 0) + inFlight);
  }
  return [...totals].map(([targetId, inFlight]) => ({ targetId, inFlight }));
}

/**
 * Leaves out the loads of suspect targets: requests that hang there would make the targets look
 * alive and busy.
 */
function listNonSuspectLoads({ loads, suspectIds }: PeerLoadReport): TargetLoad[] {
  const suspects = new Set(suspectIds);
  return loads.filter(({ targetId }) => !suspects.has(targetId));
}

/** Aggregates the packets of other gateways and builds the digests that hubs send. */
export interface DigestAggregator {
  addPacket(packet: PeerPacket): void;
  removePeer(vmName: string): void;
  /** Records a lost gateway, so that digests tell other gateways to remove it too. */
  addLostPeer(peer: Peer): void;
  /**
   * Combines the loads, suspects and demands of all other gateways. `ownReported` is what this gateway
   * sent last; it is subtracted if a hub's complete digest, which includes it, is used.
   */
  computePeerLoads(ownReported: Pick<PeerLoadReport, 'loads' | 'demands'>): PeerLoadReport;
  /**
   * Builds the digest of the gateways that `isInZone` selects, those of this zone that are not hubs;
   * it is sent to the other hubs. Each call moves the digests on to the next gateways in turn.
   */
  buildZoneDigest(isInZone: (vmName: string) => boolean): PeerDigest;
  /** Builds the digest of all gateways, which is sent to the other gateways of this zone. */
  buildCompleteDigest(ownReport: PeerLoadReport): PeerDigest;
}

/** Options of the digest aggregator. */
export interface DigestAggregatorOptions {
  table: PeerTable;
  availabilityZone: string;
  getMonotonicMs(): number;
}

/** Creates an empty aggregator. */
export function createDigestAggregator(options: DigestAggregatorOptions): DigestAggregator {
  const { table, availabilityZone, getMonotonicMs } = options;
  const received = new Map<string, ReceivedPacket>();
  const lostPeers = new Map<string, { peer: Peer; sinceMs: number }>();
  /** Start of the gateways in the next digest; advanced once per period, by buildZoneDigest. */
  let peerCursor = 0;

  const listFreshPackets = (): PeerPacket[] => {
    const now = getMonotonicMs();
    return [...received.values()]
      .filter(({ receivedMs }) => now - receivedMs <= LOAD_REPORT_LIFETIME_MS)
      .map(({ packet }) => packet);
  };

  /** Lists the newest digest of each other zone only, since its hubs report the same gateways. */
  const listZoneDigests = (): PeerDigest[] => {
    const newest = new Map<string, ReceivedPacket>();
    const now = getMonotonicMs();
    for (const entry of received.values()) {
      const { sender, digest } = entry.packet;
      const isUsed =
        digest?.isComplete === false && now - entry.receivedMs <= LOAD_REPORT_LIFETIME_MS;
      if (!isUsed || sender.availabilityZone === availabilityZone) continue;
      const known = newest.get(sender.availabilityZone);
      if (known === undefined || known.receivedMs < entry.receivedMs) {
        newest.set(sender.availabilityZone, entry);
      }
    }
    return [...newest.values()].flatMap(({ packet }) => packet.digest ?? []);
  };

  const findCompleteDigest = (): PeerDigest | undefined => {
    const now = getMonotonicMs();
    const entries = [...received.values()].filter(
      ({ packet, receivedMs }) =>
        packet.digest?.isComplete === true && now - receivedMs <= LOAD_REPORT_LIFETIME_MS,
    );
    entries.sort((left, right) => right.receivedMs - left.receivedMs);
    return entries[0]?.packet.digest;
  };

  /** Removes the lost gateways that digests no longer report; in a mesh, no digests are built. */
  const removeReportedPeers = (): void => {
    const oldestMs = getMonotonicMs() - LOST_REPORT_MS;
    for (const [name, { sinceMs }] of lostPeers) if (sinceMs < oldestMs) lostPeers.delete(name);
  };

  const listRelayedPeers = (isWanted: (vmName: string) => boolean): RelayedPeer[] => {
    const now = getMonotonicMs();
    const peers = table.listPeers().filter(({ status }) => isWanted(status.vmName));
    // Always include the leader: gateways that hear of none compete for the leadership.
    const leaders = peers.filter(({ status }) => status.dutyTerm > 0);
    const otherPeers = peers.filter(({ status }) => status.dutyTerm === 0);
    const includedPeers = Array.from(
      { length: Math.min(MAX_PEERS_PER_PACKET, otherPeers.length) },
      (_, index) => otherPeers[(peerCursor + index) % otherPeers.length]!,
    );
    const relayedPeers = [...leaders, ...includedPeers].map(({ status, heardMs }) => ({
      status,
      ageMs: now - heardMs,
      isLost: false,
    }));
    removeReportedPeers();
    for (const [name, { peer, sinceMs }] of lostPeers) {
      if (!isWanted(name)) continue;
      relayedPeers.push({ status: peer.status, ageMs: now - sinceMs, isLost: true });
    }
    return relayedPeers;
  };

  const mergeLoadReports = (reports: readonly PeerLoadReport[]): PeerLoadReport => ({
    loads: computeTotalLoads(reports.map(listNonSuspectLoads)),
    suspectIds: [...new Set(reports.flatMap(({ suspectIds }) => suspectIds))],
    demands: sumDemands(reports.map(({ demands }) => demands)),
  });

  return {
    addPacket(packet) {
      received.set(packet.sender.vmName, { packet, receivedMs: getMonotonicMs() });
      lostPeers.delete(packet.sender.vmName);
    },
    removePeer: (vmName) => {
      received.delete(vmName);
    },
    addLostPeer(peer) {
      removeReportedPeers();
      lostPeers.set(peer.status.vmName, { peer, sinceMs: getMonotonicMs() });
    },
    computePeerLoads(ownReported) {
      const completeDigest = findCompleteDigest();
      if (completeDigest === undefined) {
        return mergeLoadReports([
          ...listFreshPackets().map(({ loadReport }) => loadReport),
          ...listZoneDigests(),
        ]);
      }
      const own = new Map(ownReported.loads.map(({ targetId, inFlight }) => [targetId, inFlight]));
      const loads = completeDigest.loads.flatMap(({ targetId, inFlight }) => {
        const others = inFlight - (own.get(targetId) ?? 0);
        return others > 0 ? { targetId, inFlight: others } : [];
      });
      const demands = computeRemainingDemands(completeDigest.demands, ownReported.demands);
      return { loads, suspectIds: completeDigest.suspectIds, demands };
    },
    buildZoneDigest(isInZone) {
      const zonePackets = listFreshPackets().filter(({ sender }) => isInZone(sender.vmName));
      const peers = listRelayedPeers(isInZone);
      peerCursor += MAX_PEERS_PER_PACKET;
      return {
        ...mergeLoadReports(zonePackets.map(({ loadReport }) => loadReport)),
        peers,
        isComplete: false,
      };
    },
    buildCompleteDigest(ownReport) {
      const reports = [
        ownReport,
        ...listFreshPackets().map(({ loadReport }) => loadReport),
        ...listZoneDigests(),
      ];
      return {
        ...mergeLoadReports(reports),
        peers: listRelayedPeers(() => true),
        isComplete: true,
      };
    },
  };
}
