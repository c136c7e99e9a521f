export { createPeers } from './create-peers.ts';
export type { Peers } from './create-peers.ts';
export { PeerState } from './types.ts';
export type { Peer, PeerStatus, PeerWork } from './types.ts';
