import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import type { DigestBook } from './digests.ts';
import { createDigestBook } from './digests.ts';
import type { MemberTable } from './member-table.ts';
import { createMemberTable } from './member-table.ts';
import type { PeerDigest, PeerStatus, PeerWork } from './types.ts';
import { PeerState } from './types.ts';

function createStatus(vmName: string, zone: string, dutyTerm = 0): PeerStatus {
  return {
    vmName,
    incarnation: 1,
    callersAddress: `${vmName}:80`,
    peerAddress: `${vmName}:70`,
    availabilityZone: zone,
    capacity: 300,
    state: PeerState.Ready,
    hasRequests: false,
    dutyTerm,
  };
}

function createWork(targetId: string, inFlight: number, suspectIds: string[] = []): PeerWork {
  return { loads: [{ targetId, inFlight }], suspectIds };
}

interface Session {
  timers: ReturnType<typeof createManualTimers>;
  table: MemberTable;
  book: DigestBook;
  receive(status: PeerStatus, work: PeerWork, digest?: PeerDigest): void;
}

function startSession(): Session {
  const timers = createManualTimers();
  const table = createMemberTable('self', timers);
  const book = createDigestBook({
    table,
    availabilityZone: 'a',
    getMonotonicMs: () => timers.getMonotonicMs(),
  });
  return {
    timers,
    table,
    book,
    receive(sender, work, digest) {
      table.addMember(sender, 0);
      book.addPacket({ sender, work, digest, progress: [] });
    },
  };
}

describe('digests of hubs', () => {
  it('sums the requests in progress of all gateways', () => {
    const { book, receive } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 2));
    receive(createStatus('leaf-2', 'a'), createWork('t', 3));
    const digest = book.buildFleetDigest(createWork('t', 1));
    expect(digest.loads).toEqual([{ targetId: 't', inFlight: 6 }]);
  });

  // Guards against counting loads twice, since both hubs of a zone report the same gateways.
  it('counts the gateways of another zone once', () => {
    const { book, receive } = startSession();
    const zoneDigest = { ...createWork('t', 5), members: [], isComplete: false };
    receive(createStatus('hub-b1', 'b'), createWork('t', 0), zoneDigest);
    receive(createStatus('hub-b2', 'b'), createWork('t', 0), zoneDigest);
    expect(book.computeOthersWork([]).loads).toEqual([{ targetId: 't', inFlight: 5 }]);
  });

  // Guards against a gateway that avoids targets because of its own requests there.
  it("subtracts the gateway's own requests from a hub's totals", () => {
    const { book, receive } = startSession();
    const fleet = { ...createWork('t', 5), members: [], isComplete: true };
    receive(createStatus('hub-a', 'a'), createWork('t', 1), fleet);
    expect(book.computeOthersWork([{ targetId: 't', inFlight: 2 }]).loads).toEqual([
      { targetId: 't', inFlight: 3 },
    ]);
  });

  // Guards against treating a dead target as alive because requests wait there.
  it('does not count requests at a target that their gateway suspects', () => {
    const { book, receive } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 4, ['t']));
    const { loads, suspectIds } = book.computeOthersWork([]);
    expect(loads).toEqual([]);
    expect(suspectIds).toEqual(['t']);
  });

  it('expires the loads of a gateway that sends no more packets', () => {
    const { book, receive, timers } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 4));
    timers.runFor(2_000);
    expect(book.computeOthersWork([]).loads).toEqual([]);
  });

  // Guards against every gateway competing for a duty that is already held.
  it('includes the duty holder in each packet, and all members in turn', () => {
    const { book, receive } = startSession();
    receive(createStatus('holder', 'b', 3), createWork('t', 0));
    for (let index = 0; index < 40; index++) {
      receive(createStatus(`vm-${index}`, 'a'), createWork('t', 0));
    }
    const names = new Set<string>();
    for (let packet = 0; packet < 4; packet++) {
      const { members } = book.buildFleetDigest(createWork('t', 0));
      expect(members.some(({ status }) => status.vmName === 'holder')).toEqual(true);
      members.forEach(({ status }) => names.add(status.vmName));
      book.buildZoneDigest(() => true);
    }
    expect(names.size).toEqual(41);
  });

  // Guards against directories of the zone that still return a lost gateway.
  it('reports that a gateway was lost', () => {
    const { book, receive, table, timers } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 0));
    timers.runFor(1_500);
    table.removeSilent(1_200).forEach((peer) => book.addLost(peer));
    const { members } = book.buildFleetDigest(createWork('t', 0));
    expect(members.map(({ status, isLost }) => `${status.vmName} ${isLost}`)).toEqual([
      'leaf-1 true',
    ]);
  });
});

describe('member table', () => {
  // Guards against relayed state of a gateway that is older than what the gateway itself sent.
  it('keeps the newest state of a gateway', () => {
    const { table, timers } = startSession();
    timers.runFor(5_000);
    table.addMember(createStatus('vm-1', 'a'), 0);
    table.addMember(createStatus('vm-1', 'a'), 3_000);
    expect(table.removeSilent(1_000)).toEqual([]);
    table.addLost({ status: createStatus('vm-1', 'a'), ageMs: 2_000, isLost: true });
    expect(table.removeSilent(1_000)).toEqual([]);
    table.addLost({ status: createStatus('vm-1', 'a'), ageMs: 0, isLost: true });
    expect(table.removeSilent(1_000).length).toEqual(1);
  });

  it('treats a restart as a new gateway and ignores its former incarnation', () => {
    const { table } = startSession();
    const before = createStatus('vm-1', 'a');
    expect(table.addMember(before, 0)).toEqual(true);
    expect(table.addMember({ ...before, incarnation: 2 }, 0)).toEqual(true);
    expect(table.addMember(before, 0)).toEqual(false);
    expect(table.findPeer('vm-1')?.status.incarnation).toEqual(2);
  });
});
