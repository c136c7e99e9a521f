import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import type { Member, MembershipPacket } from '../rpc/index.ts';
import { MembershipPacketSchema, MemberState, PacketKind } from '../rpc/index.ts';
import { buildMember } from './fixtures/fake-cluster.ts';
import type { MembershipContext, MembershipMessage, MembershipState } from './index.ts';
import {
  applyMembershipMessage,
  createMembershipState,
  MembershipMessageKind,
  PAUSE_THRESHOLD_MS,
  SUSPICION_MS,
} from './index.ts';

const SELF = buildMember(0, 100n);
const OTHER = buildMember(1, 200n);
const THIRD = buildMember(2, 300n);
const SOURCE = { address: THIRD.address, port: THIRD.membershipPort };

function createContext(nowMs: number): MembershipContext {
  return { nowMs, random: () => 0 };
}

function buildPacket(from: Member, updates: Member[], kind = PacketKind.UPDATE): MembershipPacket {
  return create(MembershipPacketSchema, { kind, from: from.name, sequence: 7n, updates });
}

function applyAll(
  state: MembershipState,
  messages: readonly MembershipMessage[],
  nowMs = 0,
): MembershipState {
  return messages.reduce(
    (current, message) => applyMembershipMessage(current, message, createContext(nowMs)).state,
    state,
  );
}

function buildPacketMessage(
  from: Member,
  updates: Member[],
  kind = PacketKind.UPDATE,
): MembershipMessage {
  const packet = buildPacket(from, updates, kind);
  return { kind: MembershipMessageKind.Packet, packet, source: SOURCE };
}

const TICK: MembershipMessage = { kind: MembershipMessageKind.Tick };

interface MergeCase {
  title: string;
  held: Partial<Member>[];
  sender: Member;
  record: Partial<Member>;
  expected: Partial<Member>;
}

const { ALIVE, SUSPECT, LEAVING, DEAD } = MemberState;

const mergeCases: MergeCase[] = [
  {
    title: 'accepts a suspicion at the same refutation number',
    held: [{ state: ALIVE }],
    sender: THIRD,
    record: { state: SUSPECT },
    expected: { state: SUSPECT },
  },
  {
    title: 'ignores a suspicion that was refuted',
    held: [{ state: ALIVE, refutation: 1 }],
    sender: THIRD,
    record: { state: SUSPECT },
    expected: { state: ALIVE, refutation: 1 },
  },
  {
    title: 'ends a suspicion when the member refutes it',
    held: [{ state: SUSPECT }],
    sender: THIRD,
    record: { state: ALIVE, refutation: 1 },
    expected: { state: ALIVE, refutation: 1 },
  },
  {
    title: 'ignores an alive record at the refutation number of a suspicion',
    held: [{ state: SUSPECT }],
    sender: THIRD,
    record: { state: ALIVE },
    expected: { state: SUSPECT },
  },
  {
    title: 'only suspects an alive member that another member reports dead',
    held: [{ state: ALIVE }],
    sender: THIRD,
    record: { state: DEAD },
    expected: { state: SUSPECT },
  },
  {
    title: 'declares a suspect member dead when another member reports it dead',
    held: [{ state: SUSPECT }],
    sender: THIRD,
    record: { state: DEAD },
    expected: { state: DEAD },
  },
  {
    title: 'declares a member dead when it reports itself dead',
    held: [{ state: ALIVE }],
    sender: OTHER,
    record: { state: DEAD, refutation: 1 },
    expected: { state: DEAD, refutation: 1 },
  },
  {
    title: 'declares a leaving member dead when another member reports it dead',
    held: [{ state: LEAVING, refutation: 1 }],
    sender: THIRD,
    record: { state: DEAD, refutation: 2 },
    expected: { state: DEAD, refutation: 2 },
  },
  {
    title: 'marks a dead member alive again after a refutation',
    held: [{ state: ALIVE }, { state: SUSPECT }, { state: DEAD }],
    sender: THIRD,
    record: { state: ALIVE, refutation: 1 },
    expected: { state: ALIVE, refutation: 1 },
  },
  {
    title: 'accepts a new instance with a higher refutation number',
    held: [{ state: ALIVE, refutation: 2 }],
    sender: OTHER,
    record: { state: ALIVE, refutation: 3, instance: 1n },
    expected: { state: ALIVE, refutation: 3, instance: 1n },
  },
  {
    title: 'ignores a dead record of an unknown member',
    held: [],
    sender: THIRD,
    record: { state: DEAD },
    expected: {},
  },
];

describe('applyMembershipMessage, records of another member', () => {
  for (const testCase of mergeCases) {
    it(testCase.title, () => {
      const messages = [...testCase.held, testCase.record].map((record, index, all) =>
        buildPacketMessage(index === all.length - 1 ? testCase.sender : THIRD, [
          { ...OTHER, ...record },
        ]),
      );
      const state = applyAll(createMembershipState(SELF, [], 0), messages);
      const actual = state.entries.get(OTHER.name)?.member;
      const { expected } = testCase;
      if (Object.keys(expected).length === 0) expect(actual).toEqual(undefined);
      else expect(actual).toEqual({ ...OTHER, ...expected });
    });
  }
});

interface RefutationCase {
  title: string;
  record: Partial<Member>;
  expectedRefutation: number;
}

const refutationCases: RefutationCase[] = [
  { title: 'refutes a suspicion', record: { state: SUSPECT }, expectedRefutation: 1 },
  {
    title: 'refutes a report of its own death',
    record: { state: DEAD, refutation: 4 },
    expectedRefutation: 5,
  },
  {
    title: 'raises its refutation number above the record of an earlier instance',
    record: { state: ALIVE, refutation: 2, instance: 999n },
    expectedRefutation: 3,
  },
  {
    title: 'keeps its refutation number when it receives its own record',
    record: { state: ALIVE },
    expectedRefutation: 0,
  },
];

describe('applyMembershipMessage, records of this daemon', () => {
  for (const testCase of refutationCases) {
    it(testCase.title, () => {
      const message = buildPacketMessage(THIRD, [{ ...SELF, ...testCase.record }]);
      const state = applyAll(createMembershipState(SELF, [], 0), [message]);
      expect(state.self.refutation).toEqual(testCase.expectedRefutation);
      expect(state.self.instance).toEqual(SELF.instance);
    });
  }
});

describe('applyMembershipMessage, packets and ticks', () => {
  it('answers a ping with an ack of the same sequence number', () => {
    const state = createMembershipState(SELF, [], 0);
    const step = applyMembershipMessage(
      state,
      buildPacketMessage(THIRD, [THIRD], PacketKind.PING),
      createContext(0),
    );
    const [ack] = step.packets;
    expect(ack?.kind).toEqual(PacketKind.ACK);
    expect(ack?.sequence).toEqual(7n);
    expect(ack?.to).toEqual(SOURCE);
  });

  // Guards against a suspect member that cannot refute because it never learns of the suspicion.
  it('includes the record of a suspect member in a ping to it', () => {
    const messages = [buildPacketMessage(THIRD, [{ ...OTHER, state: SUSPECT }])];
    const state = applyAll(createMembershipState(SELF, [], 0), messages);
    const step = applyMembershipMessage(state, TICK, createContext(1));
    const ping = step.packets.find((packet) => packet.kind === PacketKind.PING);
    expect(ping?.updates[1]?.state).toEqual(SUSPECT);
  });

  // Guards against declaring members dead because this process itself was paused.
  it('restarts suspicion deadlines after its own process was paused', () => {
    const messages = [TICK, buildPacketMessage(THIRD, [{ ...OTHER, state: SUSPECT }])];
    const state = applyAll(createMembershipState(SELF, [], 0), messages);
    const lateMs = SUSPICION_MS + PAUSE_THRESHOLD_MS;
    const after = applyAll(state, [TICK], lateMs);
    expect(after.entries.get(OTHER.name)?.member.state).toEqual(SUSPECT);
  });

  // Guards against a transition that mutates its input state.
  it('does not mutate the input state', () => {
    const state = createMembershipState(SELF, [], 0);
    const before = structuredClone(state);
    applyAll(state, [TICK, buildPacketMessage(THIRD, [OTHER, THIRD]), TICK], 5_000);
    expect(state).toEqual(before);
  });

  it('publishes its leaving state only once', () => {
    const leave: MembershipMessage = { kind: MembershipMessageKind.Leave };
    const state = applyAll(createMembershipState(SELF, [], 0), [leave, leave]);
    expect(state.self.state).toEqual(LEAVING);
    expect(state.self.refutation).toEqual(1);
  });
});
