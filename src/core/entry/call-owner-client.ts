import type { CallOwnerClient } from '../calls/index.ts';
import { createError, ErrorKind } from '../errors/index.ts';
import type { MembershipView } from '../membership/index.ts';
import type { Member, PeerClient, PeerLinks } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';

/** Formats the instance number of a member as the incarnation in request ids. */
export function formatIncarnation({ instance }: Pick<Member, 'instance'>): string {
  return instance.toString(16);
}

/** Creates the RPC client for the daemons that own request ids. */
export function createCallOwnerClient(
  membership: MembershipView,
  links: PeerLinks,
): CallOwnerClient {
  const getPeerClient = (owner: string, incarnation: string): PeerClient => {
    const member = membership.findMember(owner);
    const isSameIncarnation = member !== undefined && formatIncarnation(member) === incarnation;
    if (!isSameIncarnation || member.state === MemberState.DEAD) {
      const problem = 'the incarnation of the daemon that issued the id is no longer running';
      throw createError(ErrorKind.PeerUnreachable, { daemon: owner, problem });
    }
    return links.getClient(member.address, member.peerPort);
  };
  return {
    async forwardCall(owner, incarnation, call) {
      const client = getPeerClient(owner, incarnation);
      return client.forwardCall(call, { timeoutMs: call.timeoutMs });
    },
    async lookupCall(owner, incarnation, requestId) {
      return getPeerClient(owner, incarnation).lookupCall({ requestId });
    },
  };
}
