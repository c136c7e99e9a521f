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
  it('adds up what all gateways have in progress', () => {
    const { book, receive } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 2));
    receive(createStatus('leaf-2', 'a'), createWork('t', 3));
    const digest = book.buildFleetDigest(createWork('t', 1));
    expect(digest.loads).toEqual([{ targetId: 't', inFlight: 6 }]);
  });

  // Guards against loads that count twice because both hubs of a zone report the same gateways.
  it('counts the gateways of another zone once', () => {
    const { book, receive } = startSession();
    const zoneDigest = { ...createWork('t', 5), members: [], isComplete: false };
    receive(createStatus('hub-b1', 'b'), createWork('t', 0), zoneDigest);
    receive(createStatus('hub-b2', 'b'), createWork('t', 0), zoneDigest);
    expect(book.computeOthersWork([]).loads).toEqual([{ targetId: 't', inFlight: 5 }]);
  });

  // Guards against a gateway that avoids the targets that only itself uses.
  it('leaves the own requests out of what a hub reports', () => {
    const { book, receive } = startSession();
    const fleet = { ...createWork('t', 5), members: [], isComplete: true };
    receive(createStatus('hub-a', 'a'), createWork('t', 1), fleet);
    expect(book.computeOthersWork([{ targetId: 't', inFlight: 2 }]).loads).toEqual([
      { targetId: 't', inFlight: 3 },
    ]);
  });

  // Guards against a dead target that seems alive because requests wait there.
  it('does not count requests at a target that their gateway finds silent', () => {
    const { book, receive } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 4, ['t']));
    const { loads, suspectIds } = book.computeOthersWork([]);
    expect(loads).toEqual([]);
    expect(suspectIds).toEqual(['t']);
  });

  it('forgets what a gateway reported when it says nothing more', () => {
    const { book, receive, timers } = startSession();
    receive(createStatus('leaf-1', 'a'), createWork('t', 4));
    timers.runFor(2_000);
    expect(book.computeOthersWork([]).loads).toEqual([]);
  });

  // Guards against a fleet in which every gateway competes for a duty that is held.
  it('names the holder of the duty in each packet, and all members in turn', () => {
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

  // Guards against a lost gateway that the directories of its zone go on naming.
  it('tells that a gateway was lost', () => {
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

describe('table of members', () => {
  // Guards against news of a gateway that is older than what was heard from itself.
  it('keeps the newest word on a gateway', () => {
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

  it('counts a restart as a new gateway and ignores the one before', () => {
    const { table } = startSession();
    const before = createStatus('vm-1', 'a');
    expect(table.addMember(before, 0)).toEqual(true);
    expect(table.addMember({ ...before, incarnation: 2 }, 0)).toEqual(true);
    expect(table.addMember(before, 0)).toEqual(false);
    expect(table.findPeer('vm-1')?.status.incarnation).toEqual(2);
  });
});
