import { toBinary } from '@bufbuild/protobuf';
import type { Member } from '../rpc/index.ts';
import { MemberSchema, MemberState } from '../rpc/index.ts';
import { GOSSIP_FACTOR, MAX_DATAGRAM_BYTES, PACKET_HEADER_BYTES } from './consts.ts';
import { findRecord } from './records.ts';
import type { MembershipState, QueuedUpdate } from './state.ts';

/** Bytes of the field tag and length prefix of one update in a packet. */
const UPDATE_FRAME_BYTES = 4;

const UPDATES_BUDGET_BYTES = MAX_DATAGRAM_BYTES - PACKET_HEADER_BYTES;

function computeUpdateBytes(member: Member): number {
  return toBinary(MemberSchema, member).length + UPDATE_FRAME_BYTES;
}

/** Adds an update at the front of the queue and removes an older update of the same member. */
export function addUpdate(updates: readonly QueuedUpdate[], name: string): QueuedUpdate[] {
  return [{ name, sendCount: 0 }, ...updates.filter((update) => update.name !== name)];
}

/** Returns how many times an update is piggybacked before it leaves the queue. */
export function computeSendLimit(memberCount: number): number {
  return GOSSIP_FACTOR * Math.ceil(Math.log2(memberCount + 1));
}

/**
 * Sorts the queue: updates about members that are not alive come first, because such members must
 * get no new work and many simultaneous joins would delay the updates; then fewest sends first.
 */
function sortByUrgency(state: MembershipState): QueuedUpdate[] {
  const getUrgencyRank = (update: QueuedUpdate): number =>
    findRecord(state, update.name)?.state === MemberState.ALIVE ? 1 : 0;
  return state.updates
    .map((update) => ({ update, rank: getUrgencyRank(update) }))
    .sort((left, right) => left.rank - right.rank || left.update.sendCount - right.update.sendCount)
    .map(({ update }) => update);
}

/** Updates for one packet, and the queue that remains after sending it. */
interface SelectedUpdates {
  updates: Member[];
  queue: QueuedUpdate[];
}

/**
 * Selects the updates for one packet: this daemon's own record, the given records, and then queued
 * updates, up to the size limit of a datagram.
 */
export function selectUpdates(
  state: MembershipState,
  priorityUpdates: readonly Member[],
): SelectedUpdates {
  const selected = new Map<string, Member>();
  let bytes = 0;
  const addMember = (member: Member): boolean => {
    if (selected.has(member.name)) return true;
    const memberBytes = computeUpdateBytes(member);
    if (bytes + memberBytes > UPDATES_BUDGET_BYTES) return false;
    bytes += memberBytes;
    selected.set(member.name, member);
    return true;
  };
  [state.self, ...priorityUpdates].forEach(addMember);
  const limit = computeSendLimit(state.entries.size + 1);
  const sent: QueuedUpdate[] = [];
  const kept: QueuedUpdate[] = [];
  for (const update of sortByUrgency(state)) {
    const member = findRecord(state, update.name);
    if (member === undefined) continue;
    if (addMember(member)) sent.push({ name: update.name, sendCount: update.sendCount + 1 });
    else kept.push(update);
  }
  const rest = sent.filter((update) => update.sendCount < limit);
  return { updates: [...selected.values()], queue: [...kept, ...rest] };
}

/** Splits records into groups that each fit into one packet. */
export function splitUpdates(members: readonly Member[]): Member[][] {
  const groups: Member[][] = [];
  let bytes = UPDATES_BUDGET_BYTES;
  for (const member of members) {
    const memberBytes = computeUpdateBytes(member);
    if (bytes + memberBytes > UPDATES_BUDGET_BYTES) {
      groups.push([]);
      bytes = 0;
    }
    bytes += memberBytes;
    groups.at(-1)?.push(member);
  }
  return groups;
}
