import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { ConnectRouter, ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { TimerService } from '../timers/index.ts';
import { DRAIN_DEADLINE_MS, MAX_MESSAGE_BYTES } from './consts.ts';
import { PeerService } from './generated/clementinefork/v1/peer_pb.ts';

/** RPC handlers; a call without a handler fails with the code `unimplemented`. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Options of `createPeerServer`. */
export interface PeerServerOptions {
  /** IP address to listen on. */
  address: string;
  /** TCP port to listen on; 0 chooses a free port. */
  port: number;
  handlers: PeerHandlers;
  timers: TimerService;
  /** Time that unary calls in flight have to finish after `close`. */
  drainDeadlineMs?: number;
}

/** RPC server for other daemons. */
export interface PeerServer {
  /** Port that the server listens on. */
  port: number;
  /** Ends streams, waits for unary calls, and resolves when all connections are closed. */
  close(): Promise<void>;
}

/**
 * Registers each method separately, because only streams receive the shutdown signal: unary calls in
 * flight must finish during a graceful shutdown.
 */
function addHandlers(router: ConnectRouter, handlers: PeerHandlers, shutdown: AbortSignal): void {
  const { fetchDocuments, forwardCall, getStatus, grantSlots } = handlers;
  const { lookupCall, readTimeline, reportLeases, watchTargets } = handlers;
  const { method } = PeerService;
  if (fetchDocuments) router.rpc(method.fetchDocuments, fetchDocuments);
  if (forwardCall) router.rpc(method.forwardCall, forwardCall);
  if (getStatus) router.rpc(method.getStatus, getStatus);
  if (grantSlots) router.rpc(method.grantSlots, grantSlots);
  if (lookupCall) router.rpc(method.lookupCall, lookupCall);
  if (readTimeline) router.rpc(method.readTimeline, readTimeline);
  if (reportLeases) router.rpc(method.reportLeases, reportLeases);
  const streamOptions = { shutdownSignal: shutdown };
  if (watchTargets) router.rpc(method.watchTargets, watchTargets, streamOptions);
}

function startListening(server: Http2Server, address: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Starts the RPC server for other daemons, over cleartext HTTP/2. */
export async function createPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const shutdown = new AbortController();
  const sessions = new Set<ServerHttp2Session>();
  const handleRequest = connectNodeAdapter({
    routes: (router) => addHandlers(router, options.handlers, shutdown.signal),
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  const server = createServer(handleRequest);
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    // Connection resets by the peer are expected; the session closes itself afterwards.
    session.on('error', () => undefined);
  });
  const port = await startListening(server, options.address, options.port);
  let closing: Promise<void> | undefined;

  const closeServer = (): Promise<void> =>
    new Promise((resolve) => {
      const drainMs = options.drainDeadlineMs ?? DRAIN_DEADLINE_MS;
      const cancel = options.timers.scheduleOnce(drainMs, () => {
        sessions.forEach((session) => session.destroy());
      });
      server.close(() => {
        cancel();
        resolve();
      });
      shutdown.abort();
      sessions.forEach((session) => session.close());
    });

  return {
    port,
    close() {
      closing ??= closeServer();
      return closing;
    },
  };
}
