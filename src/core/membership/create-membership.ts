import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { EventRecorder, HybridClock } from '../events/index.ts';
import type { DocumentVersion, Member, MembershipPacket } from '../rpc/index.ts';
import { MembershipPacketSchema, MemberState, PacketKind } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { TICK_MS, URGENT_UPDATE_MEMBERS } from './consts.ts';
import type { DatagramSocket } from './datagram-socket.ts';
import {
  getMembershipAddress,
  getVisibleMember,
  isLive,
  listLiveEntries,
  selectRandom,
} from './records.ts';
import type { MembershipAddress, MembershipMessage, OutgoingPacket } from './state.ts';
import { createMembershipState, MembershipMessageKind } from './state.ts';
import { applyMembershipMessage } from './transition.ts';
import type { MembershipView } from './types.ts';

/** Dependencies of the membership task of a daemon. */
export interface MembershipOptions {
  /** Record of this daemon; `instance` is a random number generated at process start. */
  self: Member;
  /** Membership addresses through which this daemon joins; they are expected to be live. */
  seeds: readonly MembershipAddress[];
  /** The task owns the socket and closes it. */
  socket: DatagramSocket;
  timers: TimerService;
  /** Returns a number in the range [0, 1). */
  random: () => number;
  clock: HybridClock;
  /** Records an event for each change of a member. */
  recorder?: Pick<EventRecorder, 'record'>;
  /** Returns the digest of the document versions that this daemon holds. */
  getDocumentsDigest: () => bigint;
  /** Called when the digest in a packet differs from that of this daemon. */
  onDigestDiffers: (member: Member, digest: bigint) => void;
  /** Called when a packet announces a new document version. */
  onDocumentVersion?: (member: Member, version: DocumentVersion) => void;
}

/** The membership task of a daemon. */
export interface Membership extends MembershipView {
  /** Announces to the other members that this daemon starts a planned shutdown. */
  markLeaving(): void;
  /**
   * Announces a document version to `URGENT_UPDATE_MEMBERS` random members, without waiting for
   * the next ping.
   */
  announceDocumentVersion(version: DocumentVersion): void;
  /** Announces to the other members that this daemon has stopped, and closes the socket. */
  close(): Promise<void>;
}

const PART = 'membership';

function parsePacket(bytes: Uint8Array): MembershipPacket | undefined {
  try {
    return fromBinary(MembershipPacketSchema, bytes);
  } catch {
    return undefined;
  }
}

/** Starts the membership task of a daemon: sends pings and handles received packets. */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, random, socket, timers } = options;
  const listeners = new Set<(member: Member) => void>();
  let state = createMembershipState(options.self, options.seeds, timers.getMonotonicMs());
  let members: Member[] | undefined;
  let liveMembers: Member[] | undefined;
  let closing: Promise<void> | undefined;

  const sendPacket = (packet: OutgoingPacket, newest?: DocumentVersion): void => {
    const time = clock.tick();
    const message = create(MembershipPacketSchema, {
      kind: packet.kind,
      from: state.self.name,
      sequence: packet.sequence,
      subject: packet.subject,
      updates: [...packet.updates],
      documentsDigest: options.getDocumentsDigest(),
      wallMs: BigInt(time.wallMs),
      counter: time.counter,
    });
    if (newest !== undefined) message.newest = newest;
    const bytes = toBinary(MembershipPacketSchema, message);
    socket.send(bytes, packet.to.address, packet.to.port);
  };

  const reportChange = (member: Member): void => {
    options.recorder?.record(PART, `member ${MemberState[member.state].toLowerCase()}`, {
      member: member.name,
      refutation: member.refutation,
    });
    listeners.forEach((listener) => listener(member));
  };

  const handleMessage = (message: MembershipMessage): void => {
    const context = { nowMs: timers.getMonotonicMs(), random };
    const step = applyMembershipMessage(state, message, context);
    const isChanged = step.state.entries !== state.entries || step.state.self !== state.self;
    state = step.state;
    if (isChanged) {
      members = undefined;
      liveMembers = undefined;
    }
    step.packets.forEach((packet) => sendPacket(packet));
    step.changes.forEach(reportChange);
  };

  const findMember = (name: string): Member | undefined => {
    if (name === state.self.name) return state.self;
    const entry = state.entries.get(name);
    return entry === undefined ? undefined : getVisibleMember(entry);
  };

  const notifyDocumentVersions = (packet: MembershipPacket): void => {
    const sender = findMember(packet.from);
    if (sender === undefined || packet.from === state.self.name) return;
    if (packet.newest !== undefined) options.onDocumentVersion?.(sender, packet.newest);
    else if (packet.documentsDigest !== options.getDocumentsDigest()) {
      options.onDigestDiffers(sender, packet.documentsDigest);
    }
  };

  const handleDatagram = (bytes: Uint8Array, address: string, port: number): void => {
    const packet = parsePacket(bytes);
    if (packet === undefined || closing !== undefined) return;
    clock.observeRemoteTime({ wallMs: Number(packet.wallMs), counter: packet.counter });
    handleMessage({
      kind: MembershipMessageKind.Packet,
      packet,
      source: { address, port },
    });
    notifyDocumentVersions(packet);
  };

  const unsubscribeSocket = socket.subscribe(handleDatagram);
  const cancelTicks = timers.subscribe(TICK_MS, () => {
    handleMessage({ kind: MembershipMessageKind.Tick });
  });
  handleMessage({ kind: MembershipMessageKind.Tick });

  return {
    self: options.self.name,
    findMember,
    listMembers() {
      members ??= [state.self, ...[...state.entries.values()].map(getVisibleMember)];
      return members;
    },
    listLiveMembers() {
      liveMembers ??= [state.self, ...listLiveEntries(state).map(getVisibleMember)].filter(isLive);
      return liveMembers;
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    markLeaving: () => handleMessage({ kind: MembershipMessageKind.Leave }),
    announceDocumentVersion(version) {
      const live = listLiveEntries(state);
      for (const entry of selectRandom(live, URGENT_UPDATE_MEMBERS, random)) {
        const to = getMembershipAddress(entry.member);
        const updates = [state.self];
        sendPacket({ to, kind: PacketKind.UPDATE, sequence: 0n, subject: '', updates }, version);
      }
    },
    close() {
      if (closing === undefined) {
        cancelTicks();
        unsubscribeSocket();
        handleMessage({ kind: MembershipMessageKind.Close });
        closing = socket.close();
      }
      return closing;
    },
  };
}
