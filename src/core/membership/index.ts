export * from './consts.ts';
export { createMembership } from './create-membership.ts';
export type { Membership, MembershipOptions } from './create-membership.ts';
export { openDatagramSocket } from './datagram-socket.ts';
export type { DatagramListener, DatagramSocket } from './datagram-socket.ts';
export { createMembershipState, MembershipMessageKind } from './state.ts';
export type {
  MemberEntry,
  MembershipAddress,
  MembershipContext,
  MembershipMessage,
  MembershipState,
  MembershipStep,
  OutgoingPacket,
} from './state.ts';
export { applyMembershipMessage } from './transition.ts';
export type * from './types.ts';
