import type { Member, PacketKind } from '../rpc/index.ts';
import { addUpdate, selectUpdates } from './piggyback.ts';
import type {
  MemberEntry,
  MembershipAddress,
  MembershipContext,
  MembershipState,
  MembershipStep,
  OutgoingPacket,
} from './state.ts';
import { getVisibleMember } from './records.ts';

type Writable<Type> = { -readonly [Key in keyof Type]: Type[Key] };

/** Mutable working copy of one transition; the input state is not modified. */
export interface MembershipDraft {
  state: Writable<MembershipState>;
  packets: OutgoingPacket[];
  /** New records of members that changed, oldest first. */
  changes: Member[];
  context: MembershipContext;
}

/** Creates the working copy for a transition. */
export function createDraft(state: MembershipState, context: MembershipContext): MembershipDraft {
  return { state: { ...state }, packets: [], changes: [], context };
}

/** Returns the result of a transition. */
export function buildMembershipStep(draft: MembershipDraft): MembershipStep {
  return { state: draft.state, packets: draft.packets, changes: draft.changes };
}

/** Sets the entry of a member; undefined removes it. */
export function setEntry(
  draft: MembershipDraft,
  name: string,
  entry: MemberEntry | undefined,
): void {
  const entries = new Map(draft.state.entries);
  if (entry === undefined) entries.delete(name);
  else entries.set(name, entry);
  draft.state.entries = entries;
}

/**
 * Sets the entry of a member, queues the update for gossip, and adds a change when the instance or
 * the visible state differs.
 */
export function publishEntry(draft: MembershipDraft, entry: MemberEntry): void {
  const before = draft.state.entries.get(entry.member.name);
  setEntry(draft, entry.member.name, entry);
  draft.state.updates = addUpdate(draft.state.updates, entry.member.name);
  const visible = getVisibleMember(entry);
  const isSameInstance = before?.member.instance === entry.member.instance;
  const isSameState = before !== undefined && getVisibleMember(before).state === visible.state;
  if (!isSameInstance || !isSameState) draft.changes.push(visible);
}

/** Sets this daemon's own record, queues the update for gossip and adds a change. */
export function publishSelf(draft: MembershipDraft, self: Member): void {
  draft.state.self = self;
  draft.state.updates = addUpdate(draft.state.updates, self.name);
  draft.changes.push(self);
}

/** Increments and returns the sequence number. */
export function takeSequence(draft: MembershipDraft): bigint {
  draft.state.sequence += 1n;
  return draft.state.sequence;
}

/** Fields of a packet that depend on its kind. */
export interface PacketFields {
  to: MembershipAddress;
  kind: PacketKind;
  sequence?: bigint;
  subject?: string;
  /** Records that are included before queued updates. */
  priorityUpdates?: readonly Member[];
}

/** Adds an outgoing packet with piggybacked updates. */
export function sendPacket(draft: MembershipDraft, fields: PacketFields): void {
  const { updates, queue } = selectUpdates(draft.state, fields.priorityUpdates ?? []);
  draft.state.updates = queue;
  draft.packets.push({
    to: fields.to,
    kind: fields.kind,
    sequence: fields.sequence ?? 0n,
    subject: fields.subject ?? '',
    updates,
  });
}
