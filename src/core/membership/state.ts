import type { Member, MembershipPacket, PacketKind } from '../rpc/index.ts';
import { FIRST_SYNC_MS } from './consts.ts';

/** Address of a membership socket. */
export interface MembershipAddress {
  address: string;
  port: number;
}

/** What this daemon holds of another member. */
export interface MemberEntry {
  /** Record with the highest precedence that was seen. */
  readonly member: Member;
  /** True once this instance has said that it leaves; a later suspicion does not undo it. */
  readonly isLeaving: boolean;
  /** Monotonic time of the last change of state. */
  readonly changedMs: number;
  /** True when the suspicion comes from a ping of this daemon, which then pings again. */
  readonly isOwnSuspicion: boolean;
}

/** A ping that waits for its answer. */
export interface Probe {
  readonly sequence: bigint;
  readonly subject: string;
  readonly sentMs: number;
  /** True once other members were asked to ping. */
  readonly isIndirect: boolean;
}

/** A ping that this daemon sends for another member. */
export interface RelayedProbe {
  readonly sequence: bigint;
  readonly subject: string;
  readonly sentMs: number;
  readonly requester: MembershipAddress;
  readonly requesterSequence: bigint;
}

/** An update that is still to be piggybacked. */
export interface QueuedUpdate {
  readonly name: string;
  readonly sends: number;
}

/** The whole state of the membership protocol in one daemon. */
export interface MembershipState {
  readonly self: Member;
  readonly seeds: readonly MembershipAddress[];
  /** Other members by name. */
  readonly entries: ReadonlyMap<string, MemberEntry>;
  readonly probes: readonly Probe[];
  readonly relayedProbes: readonly RelayedProbe[];
  /** Members that are still to be pinged in this round. */
  readonly round: readonly string[];
  /** Updates that are still to be piggybacked, newest first. */
  readonly updates: readonly QueuedUpdate[];
  readonly sequence: bigint;
  readonly nextPingMs: number;
  readonly nextRetryMs: number;
  readonly nextJoinMs: number;
  readonly nextSyncMs: number;
  readonly lastTickMs: number;
}

/** Kinds of input of the transition function. */
export enum MembershipMessageKind {
  Tick = 'tick',
  Packet = 'packet',
  /** This daemon starts a planned stop. */
  Leave = 'leave',
  /** This daemon has stopped serving and closes. */
  Close = 'close',
}

/** Input of the transition function. */
export type MembershipMessage =
  | { kind: MembershipMessageKind.Tick }
  | {
      kind: MembershipMessageKind.Packet;
      packet: MembershipPacket;
      source: MembershipAddress;
    }
  | { kind: MembershipMessageKind.Leave }
  | { kind: MembershipMessageKind.Close };

/** Time and randomness, which are passed in. */
export interface MembershipContext {
  nowMs: number;
  /** Returns a number from 0 up to 1. */
  random: () => number;
}

/** A packet to send; the task adds sender, clock and documents digest. */
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

/** Returns the state of a daemon that knows only itself. */
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
    updates: [{ name: self.name, sends: 0 }],
    sequence: 0n,
    nextPingMs: nowMs,
    nextRetryMs: nowMs,
    nextJoinMs: nowMs,
    nextSyncMs: nowMs + FIRST_SYNC_MS,
    lastTickMs: nowMs,
  };
}
