export { createPeerExchange } from './create-peer-exchange.ts';
export type { PeerExchange, PeerExchangeListener } from './create-peer-exchange.ts';
export { PeerState } from './types.ts';
export type { Peer, PeerStatus, PeerLoadReport } from './types.ts';
