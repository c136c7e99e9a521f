export * from './consts.ts';
export * from './generated/clementinefork/v1/peer_pb.ts';
export { createPeerLinks } from './peer-links.ts';
export type { PeerLinksOptions } from './peer-links.ts';
export { createPeerServer } from './peer-server.ts';
export type { PeerHandlers, PeerServer, PeerServerOptions } from './peer-server.ts';
export type * from './types.ts';
