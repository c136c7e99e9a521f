import type { Client } from '@connectrpc/connect';
import type { PeerService } from './generated/clementinefork/v1/peer_pb.ts';

/** RPC client of another daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Pool of long-lived connections to other daemons, with HTTP/2 keepalive. */
export interface PeerLinks {
  /** Returns the client of the daemon at an IP address and port. */
  getClient(address: string, port: number): PeerClient;
  /** Aborts all connections. */
  close(): void;
}
