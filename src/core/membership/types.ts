import type { Member } from '../rpc/generated/clementinefork/v1/peer_pb.ts';

/** What a daemon knows of the other daemons. */
export interface MembershipView {
  /** Name of this daemon. */
  self: string;
  /** All known members in any state, this daemon included. */
  listMembers(): Member[];
  /** Members that are alive, suspect or leaving, this daemon included. */
  listLiveMembers(): Member[];
  findMember(name: string): Member | undefined;
  /** Calls the listener after each change of a member. */
  subscribe(listener: (member: Member) => void): () => void;
}
