import type { Member } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import type { MemberEntry, MembershipAddress, MembershipState } from './state.ts';

/** Precedence of states at the same refutation number and instance; the higher rank wins. */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  [MemberState.UNSPECIFIED]: 0,
  [MemberState.ALIVE]: 1,
  [MemberState.LEAVING]: 2,
  [MemberState.SUSPECT]: 3,
  [MemberState.DEAD]: 4,
};

/**
 * Compares two records of the same member; positive when the first takes precedence. Only the
 * member itself raises the refutation number (called incarnation number in SWIM). It also raises it
 * above the records of its earlier instances, so instance numbers need not increase over time.
 */
export function compareRecords(left: Member, right: Member): number {
  if (left.refutation !== right.refutation) return left.refutation - right.refutation;
  if (left.instance !== right.instance) return left.instance > right.instance ? 1 : -1;
  return STATE_RANK[left.state] - STATE_RANK[right.state];
}

/** Returns the socket address of a member. */
export function getMembershipAddress(member: Member): MembershipAddress {
  return { address: member.address, port: member.membershipPort };
}

/** Tells whether a member takes part in the protocol, that is, whether it is not dead. */
export function isLive(member: Member): boolean {
  return member.state !== MemberState.DEAD;
}

/** Returns the record that other modules see; a leaving member that is suspect stays leaving. */
export function getVisibleMember(entry: MemberEntry): Member {
  const { member } = entry;
  const isSuspicionHidden = entry.isLeaving && member.state === MemberState.SUSPECT;
  return isSuspicionHidden ? { ...member, state: MemberState.LEAVING } : member;
}

/** Lists the entries of members that are not dead. */
export function listLiveEntries(state: MembershipState): MemberEntry[] {
  return [...state.entries.values()].filter((entry) => isLive(entry.member));
}

/** Returns the newest record of a member, this daemon included. */
export function findRecord(state: MembershipState, name: string): Member | undefined {
  return name === state.self.name ? state.self : state.entries.get(name)?.member;
}

/** Returns up to `count` random elements without repetition, in random order. */
export function selectRandom<Value>(
  values: readonly Value[],
  count: number,
  random: () => number,
): Value[] {
  const rest = [...values];
  const selected: Value[] = [];
  while (selected.length < count && rest.length > 0) {
    const index = Math.min(rest.length - 1, Math.floor(random() * rest.length));
    selected.push(...rest.splice(index, 1));
  }
  return selected;
}
