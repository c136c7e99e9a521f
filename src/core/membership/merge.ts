import type { Member } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import type { MembershipDraft } from './draft.ts';
import { publishEntry, publishSelf } from './draft.ts';
import { compareRecords } from './records.ts';
import type { MemberEntry } from './state.ts';

/** Raises this daemon's refutation number above that of a record that contradicts its own. */
function refuteRecord(draft: MembershipDraft, record: Member): void {
  const { self } = draft.state;
  const isSame = record.instance === self.instance && record.state === self.state;
  if (isSame || compareRecords(record, self) <= 0) return;
  const refutation = Math.max(record.refutation, self.refutation) + 1;
  publishSelf(draft, { ...self, refutation });
}

/**
 * Returns the state with which a record is accepted. The other side of a healed partition reports
 * members dead that are alive here, so such a report only makes an alive member suspect. A member
 * is dead at once if it reports itself dead, if it had announced that it was leaving, or if this
 * daemon does not hold it as alive.
 */
function computeAcceptedState(
  held: MemberEntry | undefined,
  record: Member,
  sender: string,
): MemberState {
  if (record.state !== MemberState.DEAD) return record.state;
  if (held === undefined || sender === record.name) return MemberState.DEAD;
  const isAnnouncedLeave = held.isLeaving && held.member.instance === record.instance;
  return held.member.state === MemberState.ALIVE && !isAnnouncedLeave
    ? MemberState.SUSPECT
    : MemberState.DEAD;
}

/** Accepts a record of another member if it has precedence over the held one. */
function mergeRecord(draft: MembershipDraft, record: Member, sender: string): void {
  const held = draft.state.entries.get(record.name);
  // An unknown dead member was removed after its retention time or was never seen; ignore it.
  if (held === undefined && record.state === MemberState.DEAD) return;
  if (held !== undefined && compareRecords(record, held.member) <= 0) return;
  const state = computeAcceptedState(held, record, sender);
  const isSameInstance = held?.member.instance === record.instance;
  const wasLeaving = isSameInstance && (held?.isLeaving ?? false);
  publishEntry(draft, {
    member: { ...record, state },
    isLeaving: wasLeaving || state === MemberState.LEAVING,
    changedMs: draft.context.nowMs,
    isOwnSuspicion: false,
  });
}

/** Merges the records of a packet; refutes those that contradict the own record. */
export function mergeRecords(
  draft: MembershipDraft,
  records: readonly Member[],
  sender: string,
): void {
  for (const record of records) {
    if (record.state === MemberState.UNSPECIFIED || record.name === '') continue;
    if (record.name === draft.state.self.name) refuteRecord(draft, record);
    else mergeRecord(draft, record, sender);
  }
}
