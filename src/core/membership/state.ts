import type { Member, MembershipPacket, PacketKind } from '../rpc/index.ts';
import { FIRST_SYNC_MS } from './consts.ts';

/** Address of a membership socket. */
export interface MembershipAddress {
  address: string;
  port: number;
}

/** State that this daemon keeps about another member. */
export interface MemberEntry {
  /** Received record with the highest precedence; see `compareRecords`. */
  readonly member: Member;
  /** True once this instance announced that it is leaving; a later suspicion does not reset it. */
  readonly isLeaving: boolean;
  /** Monotonic time of the last accepted record or state change. */
  readonly changedMs: number;
  /**
   * True if a failed ping of this daemon caused the suspicion; it then keeps pinging the member.
   */
  readonly isOwnSuspicion: boolean;
}

/** A ping that waits for its ack. */
export interface Probe {
  readonly sequence: bigint;
  readonly subject: string;
  readonly sentMs: number;
  /** True once other members were asked to ping the subject. */
  readonly isIndirect: boolean;
}

/** A ping that this daemon sends on request of another member. */
export interface RelayedProbe {
  readonly sequence: bigint;
  readonly subject: string;
  readonly sentMs: number;
  readonly requester: MembershipAddress;
  readonly requesterSequence: bigint;
}

/** An update that waits in the queue to be piggybacked on packets. */
export interface QueuedUpdate {
  readonly name: string;
  /** Number of packets that have carried the update. */
  readonly sendCount: number;
}

/** Immutable state of the membership protocol in one daemon. */
export interface MembershipState {
  readonly self: Member;
  readonly seeds: readonly MembershipAddress[];
  /** Other members by name. */
  readonly entries: ReadonlyMap<string, MemberEntry>;
  readonly probes: readonly Probe[];
  readonly relayedProbes: readonly RelayedProbe[];
  /** Names of the members not yet pinged in the current round. */
  readonly round: readonly string[];
  /** Updates that wait to be piggybacked, newest first. */
  readonly updates: readonly QueuedUpdate[];
  readonly sequence: bigint;
  readonly nextPingMs: number;
  readonly nextRetryMs: number;
  readonly nextJoinMs: number;
  readonly nextSyncMs: number;
  readonly lastTickMs: number;
}

/** Kinds of input to the transition function. */
export enum MembershipMessageKind {
  Tick = 'tick',
  Packet = 'packet',
  /** This daemon starts a planned shutdown. */
  Leave = 'leave',
  /** This daemon has stopped serving, and its membership task closes. */
  Close = 'close',
}

/** Input to the transition function. */
export type MembershipMessage =
  | { kind: MembershipMessageKind.Tick }
  | {
      kind: MembershipMessageKind.Packet;
      packet: MembershipPacket;
      source: MembershipAddress;
    }
  | { kind: MembershipMessageKind.Leave }
  | { kind: MembershipMessageKind.Close };

/** Time and randomness; they are passed in so that the transition function is deterministic. */
export interface MembershipContext {
  nowMs: number;
  /** Returns a number in the range [0, 1). */
  random: () => number;
}

/** A packet to send; `createMembership` adds sender, clock and documents digest. */
export interface OutgoingPacket {
  readonly to: MembershipAddress;
  readonly kind: PacketKind;
  readonly sequence: bigint;
  readonly subject: string;
  readonly updates: readonly Member[];
}

/** Result of a transition. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly packets: readonly OutgoingPacket[];
  /** New records of members that changed, oldest first. */
  readonly changes: readonly Member[];
}

/** Returns the initial state of a daemon, which knows no other member. */
export function createMembershipState(
  self: Member,
  seeds: readonly MembershipAddress[],
  nowMs: number,
): MembershipState {
  return {
    self,
    seeds,
    entries: new Map(),
    probes: [],
    relayedProbes: [],
    round: [],
    updates: [{ name: self.name, sendCount: 0 }],
    sequence: 0n,
    nextPingMs: nowMs,
    nextRetryMs: nowMs,
    nextJoinMs: nowMs,
    nextSyncMs: nowMs + FIRST_SYNC_MS,
    lastTickMs: nowMs,
  };
}
