import type { Client } from '@connectrpc/connect';
import type { PeerService } from './generated/clementinefork/v1/peer_pb.ts';

/** Client of another daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Long-lived links to other daemons, with HTTP/2 keepalive. */
export interface PeerLinks {
  /** Returns the client of a daemon at this IP address and port. */
  getClient(address: string, port: number): PeerClient;
  close(): void;
}
