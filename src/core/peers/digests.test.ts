import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_NOTICES } from '../advisories/index.ts';
import { NO_EVIDENCE } from '../quarantine/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { DigestAggregator } from './digests.ts';
import { createDigestAggregator } from './digests.ts';
import type { PeerTable } from './peer-table.ts';
import { createPeerTable } from './peer-table.ts';
import type { PeerDigest, PeerStatus, PeerLoadReport } from './types.ts';
import { PeerState } from './types.ts';

function createStatus(vmName: string, zone: string, dutyTerm = 0): PeerStatus {
  return {
    vmName,
    incarnation: 1,
    callersAddress: `${vmName}:80`,
    peerAddress: `${vmName}:70`,
    availabilityZone: zone,
    capacity: 300,
    linkMbps: 1_000,
    inProgress: 0,
    memoryShare: 0,
    state: PeerState.Ready,
    hasRequests: false,
    dutyTerm,
  };
}

function createLoadReport(
  targetId: string,
  inFlight: number,
  suspectIds: string[] = [],
): PeerLoadReport {
  return { loads: [{ targetId, inFlight }], suspectIds, demands: [] };
}

interface Session {
  timers: ReturnType<typeof createManualTimers>;
  table: PeerTable;
  aggregator: DigestAggregator;
  receive(status: PeerStatus, loadReport: PeerLoadReport, digest?: PeerDigest): void;
}

function startSession(): Session {
  const timers = createManualTimers();
  const table = createPeerTable('self', timers);
  const aggregator = createDigestAggregator({
    table,
    availabilityZone: 'a',
    getMonotonicMs: () => timers.getMonotonicMs(),
  });
  return {
    timers,
    table,
    aggregator,
    receive(sender, loadReport, digest) {
      table.addPeer(sender, 0);
      aggregator.addPacket({
        sender,
        loadReport,
        digest,
        evidence: NO_EVIDENCE,
        advisories: NO_NOTICES,
        fleetMs: 0,
        usage: [],
        progress: [],
      });
    },
  };
}

describe('digests of hubs', () => {
  it('sums the requests in progress of all gateways', () => {
    const { aggregator, receive } = startSession();
    receive(createStatus('leaf-1', 'a'), createLoadReport('t', 2));
    receive(createStatus('leaf-2', 'a'), createLoadReport('t', 3));
    const digest = aggregator.buildCompleteDigest(createLoadReport('t', 1));
    expect(digest.loads).toEqual([{ targetId: 't', inFlight: 6 }]);
  });

  // Guards against counting loads twice, since both hubs of a zone report the same gateways.
  it('counts the gateways of another zone once', () => {
    const { aggregator, receive } = startSession();
    const zoneDigest = { ...createLoadReport('t', 5), peers: [], isComplete: false };
    receive(createStatus('hub-b1', 'b'), createLoadReport('t', 0), zoneDigest);
    receive(createStatus('hub-b2', 'b'), createLoadReport('t', 0), zoneDigest);
    expect(aggregator.computePeerLoads({ loads: [], demands: [] }).loads).toEqual([
      { targetId: 't', inFlight: 5 },
    ]);
  });

  // Guards against a gateway that avoids targets because of its own requests there.
  it("subtracts the gateway's own requests from a hub's totals", () => {
    const { aggregator, receive } = startSession();
    const completeDigest = { ...createLoadReport('t', 5), peers: [], isComplete: true };
    receive(createStatus('hub-a', 'a'), createLoadReport('t', 1), completeDigest);
    expect(
      aggregator.computePeerLoads({ loads: [{ targetId: 't', inFlight: 2 }], demands: [] }).loads,
    ).toEqual([{ targetId: 't', inFlight: 3 }]);
  });

  // Guards against treating a dead target as alive because requests wait there.
  it('does not count requests at a target that their gateway suspects', () => {
    const { aggregator, receive } = startSession();
    receive(createStatus('leaf-1', 'a'), createLoadReport('t', 4, ['t']));
    const { loads, suspectIds } = aggregator.computePeerLoads({ loads: [], demands: [] });
    expect(loads).toEqual([]);
    expect(suspectIds).toEqual(['t']);
  });

  it('expires the loads of a gateway that sends no more packets', () => {
    const { aggregator, receive, timers } = startSession();
    receive(createStatus('leaf-1', 'a'), createLoadReport('t', 4));
    timers.runFor(2_000);
    expect(aggregator.computePeerLoads({ loads: [], demands: [] }).loads).toEqual([]);
  });

  // Guards against every gateway competing for the leadership although there is a leader.
  it('includes the leader in each packet, and all gateways in turn', () => {
    const { aggregator, receive } = startSession();
    receive(createStatus('holder', 'b', 3), createLoadReport('t', 0));
    for (let index = 0; index < 40; index++) {
      receive(createStatus(`vm-${index}`, 'a'), createLoadReport('t', 0));
    }
    const names = new Set<string>();
    for (let packet = 0; packet < 4; packet++) {
      const { peers } = aggregator.buildCompleteDigest(createLoadReport('t', 0));
      expect(peers.some(({ status }) => status.vmName === 'holder')).toEqual(true);
      peers.forEach(({ status }) => names.add(status.vmName));
      aggregator.buildZoneDigest(() => true);
    }
    expect(names.size).toEqual(41);
  });

  // Guards against directories of the zone that still return a lost gateway.
  it('reports that a gateway was lost', () => {
    const { aggregator, receive, table, timers } = startSession();
    receive(createStatus('leaf-1', 'a'), createLoadReport('t', 0));
    timers.runFor(1_500);
    table.removeTimedOut(1_200).forEach((peer) => aggregator.addLostPeer(peer));
    const { peers } = aggregator.buildCompleteDigest(createLoadReport('t', 0));
    expect(peers.map(({ status, isLost }) => `${status.vmName} ${isLost}`)).toEqual([
      'leaf-1 true',
    ]);
  });
});

describe('peer table', () => {
  // Guards against relayed state of a gateway that is older than what the gateway itself sent.
  it('keeps the newest state of a gateway', () => {
    const { table, timers } = startSession();
    timers.runFor(5_000);
    table.addPeer(createStatus('vm-1', 'a'), 0);
    table.addPeer(createStatus('vm-1', 'a'), 3_000);
    expect(table.removeTimedOut(1_000)).toEqual([]);
    table.markLost({ status: createStatus('vm-1', 'a'), ageMs: 2_000, isLost: true });
    expect(table.removeTimedOut(1_000)).toEqual([]);
    table.markLost({ status: createStatus('vm-1', 'a'), ageMs: 0, isLost: true });
    expect(table.removeTimedOut(1_000).length).toEqual(1);
  });

  it('treats a restart as a new gateway and ignores its former incarnation', () => {
    const { table } = startSession();
    const before = createStatus('vm-1', 'a');
    expect(table.addPeer(before, 0)).toEqual(true);
    expect(table.addPeer({ ...before, incarnation: 2 }, 0)).toEqual(true);
    expect(table.addPeer(before, 0)).toEqual(false);
    expect(table.findPeer('vm-1')?.status.incarnation).toEqual(2);
  });
});
