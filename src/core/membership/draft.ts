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

/** Working copy of one transition; the state that it was made from stays unchanged. */
export interface MembershipDraft {
  state: Writable<MembershipState>;
  packets: OutgoingPacket[];
  changes: Member[];
  context: MembershipContext;
}

/** Starts a transition. */
export function createDraft(state: MembershipState, context: MembershipContext): MembershipDraft {
  return { state: { ...state }, packets: [], changes: [], context };
}

/** Ends a transition. */
export function formatStep(draft: MembershipDraft): MembershipStep {
  return { state: draft.state, packets: draft.packets, changes: draft.changes };
}

/** Replaces the entry of a member, or removes it. */
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

/** Replaces the entry of a member, queues the update and reports a visible change. */
export function publishEntry(draft: MembershipDraft, entry: MemberEntry): void {
  const before = draft.state.entries.get(entry.member.name);
  setEntry(draft, entry.member.name, entry);
  draft.state.updates = addUpdate(draft.state.updates, entry.member.name);
  const visible = getVisibleMember(entry);
  const isSameInstance = before?.member.instance === entry.member.instance;
  const isSameState = before !== undefined && getVisibleMember(before).state === visible.state;
  if (!isSameInstance || !isSameState) draft.changes.push(visible);
}

/** Replaces the own record, queues the update and reports the change. */
export function publishSelf(draft: MembershipDraft, self: Member): void {
  draft.state.self = self;
  draft.state.updates = addUpdate(draft.state.updates, self.name);
  draft.changes.push(self);
}

/** Returns a new sequence number. */
export function takeSequence(draft: MembershipDraft): bigint {
  draft.state.sequence += 1n;
  return draft.state.sequence;
}

/** Fields of a packet that differ between kinds. */
export interface PacketFields {
  to: MembershipAddress;
  kind: PacketKind;
  sequence?: bigint;
  subject?: string;
  /** Records that go before the queued updates. */
  first?: readonly Member[];
}

/** Adds a packet with piggybacked updates. */
export function sendPacket(draft: MembershipDraft, fields: PacketFields): void {
  const { updates, queue } = selectUpdates(draft.state, fields.first ?? []);
  draft.state.updates = queue;
  draft.packets.push({
    to: fields.to,
    kind: fields.kind,
    sequence: fields.sequence ?? 0n,
    subject: fields.subject ?? '',
    updates,
  });
}
