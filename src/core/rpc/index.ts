export * from './generated/clementinefork/v1/peer_pb.ts';
export type * from './types.ts';
