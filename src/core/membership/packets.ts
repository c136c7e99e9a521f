import type { Member, MembershipPacket } from '../rpc/index.ts';
import { MemberState, PacketKind } from '../rpc/index.ts';
import { URGENT_UPDATE_MEMBERS } from './consts.ts';
import type { MembershipDraft } from './draft.ts';
import { publishSelf, sendPacket, takeSequence } from './draft.ts';
import { mergeRecords } from './merge.ts';
import { splitUpdates } from './piggyback.ts';
import { compareRecords, getMembershipAddress, listLiveEntries, selectRandom } from './records.ts';
import type { MembershipAddress } from './state.ts';
import { sendPing } from './tick.ts';

/** A received packet with the address of its sender. */
interface ReceivedPacket {
  packet: MembershipPacket;
  source: MembershipAddress;
}

/** Returns this daemon's record of the sender if it differs from the sender's own record. */
function findDifferingRecord(draft: MembershipDraft, packet: MembershipPacket): Member[] {
  const held = draft.state.entries.get(packet.from)?.member;
  const claimed = packet.updates.find((record) => record.name === packet.from);
  if (held === undefined || claimed === undefined) return [];
  return compareRecords(held, claimed) === 0 ? [] : [held];
}

function handlePing(draft: MembershipDraft, { packet, source }: ReceivedPacket): void {
  sendPacket(draft, {
    to: source,
    kind: PacketKind.ACK,
    sequence: packet.sequence,
    priorityUpdates: findDifferingRecord(draft, packet),
  });
}

function handleAck(draft: MembershipDraft, { packet }: ReceivedPacket): void {
  const { state } = draft;
  const subject = packet.subject === '' ? packet.from : packet.subject;
  state.probes = state.probes.filter(
    (probe) => probe.sequence !== packet.sequence || probe.subject !== subject,
  );
  const relayed = state.relayedProbes.find(
    (probe) => probe.sequence === packet.sequence && probe.subject === packet.from,
  );
  if (relayed === undefined) return;
  state.relayedProbes = state.relayedProbes.filter((probe) => probe !== relayed);
  sendPacket(draft, {
    to: relayed.requester,
    kind: PacketKind.ACK,
    sequence: relayed.requesterSequence,
    subject: relayed.subject,
    // The record of the pinged member may refute a suspicion that the requester holds.
    priorityUpdates: packet.updates.filter((record) => record.name === relayed.subject),
  });
}

function handlePingRequest(draft: MembershipDraft, { packet, source }: ReceivedPacket): void {
  const entry = draft.state.entries.get(packet.subject);
  if (entry === undefined) return;
  const sequence = takeSequence(draft);
  draft.state.relayedProbes = [
    ...draft.state.relayedProbes,
    {
      sequence,
      subject: packet.subject,
      sentMs: draft.context.nowMs,
      requester: source,
      requesterSequence: packet.sequence,
    },
  ];
  sendPing(draft, entry, sequence);
}

/** Answers a join with the records of all live members, split into as many packets as needed. */
function handleJoin(draft: MembershipDraft, received: ReceivedPacket): void {
  const members = listLiveEntries(draft.state).map((entry) => entry.member);
  const answer = [
    draft.state.self,
    ...findDifferingRecord(draft, received.packet),
    ...members.filter((member) => member.name !== received.packet.from),
  ];
  splitUpdates(answer).forEach((updates) => {
    draft.packets.push({
      to: received.source,
      kind: PacketKind.UPDATE,
      sequence: received.packet.sequence,
      subject: '',
      updates,
    });
  });
}

/** Merges the records of a received packet and answers the packet. */
export function handlePacket(draft: MembershipDraft, received: ReceivedPacket): void {
  const { packet, source } = received;
  if (packet.from === '' || packet.from === draft.state.self.name) return;
  const refutationBefore = draft.state.self.refutation;
  mergeRecords(draft, packet.updates, packet.from);
  const isRefuting = draft.state.self.refutation !== refutationBefore;
  switch (packet.kind) {
    case PacketKind.PING:
      handlePing(draft, received);
      return;
    case PacketKind.PING_REQUEST:
      handlePingRequest(draft, received);
      break;
    case PacketKind.JOIN:
      handleJoin(draft, received);
      return;
    case PacketKind.ACK:
      handleAck(draft, received);
      break;
    default:
      break;
  }
  // The answers to pings and joins already include the new record.
  if (isRefuting) sendPacket(draft, { to: source, kind: PacketKind.UPDATE });
}

/** Publishes a new state of this daemon and sends it to a few random members immediately. */
export function publishOwnState(
  draft: MembershipDraft,
  state: MemberState.LEAVING | MemberState.DEAD,
): void {
  const { self } = draft.state;
  publishSelf(draft, { ...self, state, refutation: self.refutation + 1 });
  const live = listLiveEntries(draft.state);
  for (const entry of selectRandom(live, URGENT_UPDATE_MEMBERS, draft.context.random)) {
    sendPacket(draft, { to: getMembershipAddress(entry.member), kind: PacketKind.UPDATE });
  }
}
