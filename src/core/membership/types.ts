import type { Member } from '../rpc/generated/clementinefork/v1/peer_pb.ts';

/** Read-only view of the members that a daemon knows. */
export interface MembershipView {
  /** Name of this daemon. */
  self: string;
  /** Lists all known members in any state, including this daemon. */
  listMembers(): Member[];
  /** Lists the members that are alive, suspect or leaving, including this daemon. */
  listLiveMembers(): Member[];
  findMember(name: string): Member | undefined;
  /** Calls the listener after each change of a member; returns a function that unsubscribes. */
  subscribe(listener: (member: Member) => void): () => void;
}
