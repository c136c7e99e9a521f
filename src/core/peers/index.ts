export { createPeers } from './create-peers.ts';
export type { Peers } from './create-peers.ts';
export { PeerState } from './types.ts';
export type { Peer, PeerStatus } from './types.ts';
