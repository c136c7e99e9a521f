import type { TargetLoad } from '../fleet/index.ts';
import type { MemberTable } from './member-table.ts';
import type { Peer, PeerDigest, PeerPacket, PeerWork, RelayedMember } from './types.ts';

/** A packet and the time of its arrival. */
export interface ReceivedPacket {
  packet: PeerPacket;
  atMs: number;
}

/** What other gateways have in progress counts for this long after their packet. */
const WORK_MS = 1_500;
/** Members named in one packet, so that it stays small; the others follow in the next ones. */
const MEMBERS_PER_PACKET = 16;
/** A gateway that was lost is named so for this long. */
const LOST_MS = 3_000;

/** Adds up requests in progress by target. */
export function computeTotalLoads(parts: readonly (readonly TargetLoad[])[]): TargetLoad[] {
  const totals = new Map<string, number>();
  for (const { targetId, inFlight } of parts.flat()) {
    totals.set(targetId, (totals.get(targetId) ?? 0) + inFlight);
  }
  return [...totals].map(([targetId, inFlight]) => ({ targetId, inFlight }));
}

/** Requests that wait at a silent target are no sign of its life and say nothing of its load. */
function listLiveLoads({ loads, suspectIds }: PeerWork): TargetLoad[] {
  const silent = new Set(suspectIds);
  return loads.filter(({ targetId }) => !silent.has(targetId));
}

/** Collects what gateways report, and what hubs tell others of it. */
export interface DigestBook {
  addPacket(packet: PeerPacket): void;
  removePeer(vmName: string): void;
  /** Notes a gateway that was lost, so that others stop naming it too. */
  addLost(peer: Peer): void;
  /** What all other gateways have in progress. `ownReported` is what this one told a hub last. */
  computeOthersWork(ownReported: readonly TargetLoad[]): PeerWork;
  /** What the zone's other gateways report, for hubs. */
  buildZoneDigest(isOfZone: (vmName: string) => boolean): PeerDigest;
  /** What all gateways report, for the zone's other gateways. */
  buildFleetDigest(ownWork: PeerWork): PeerDigest;
}

/** What the book needs. */
export interface DigestBookOptions {
  table: MemberTable;
  availabilityZone: string;
  getMonotonicMs(): number;
}

/** Creates an empty book. */
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

  /** Of each other zone the newest digest counts: its hubs report the same gateways. */
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
    // The holder of the duty is always named: without news of it others compete for the duty.
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
