import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { ConnectRouter, ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { TimerService } from '../timers/index.ts';
import { DRAIN_DEADLINE_MS, MAX_MESSAGE_BYTES } from './consts.ts';
import { PeerService } from './generated/clementinefork/v1/peer_pb.ts';

/** Implementations of calls; a call without a handler answers `unimplemented`. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Where the server listens; port 0 takes a free port. */
export interface PeerServerOptions {
  address: string;
  port: number;
  handlers: PeerHandlers;
  timers: TimerService;
  /** Time that calls in flight get to finish at close. */
  drainDeadlineMs?: number;
}

/** A listening server for other daemons. */
export interface PeerServer {
  port: number;
  /** Ends streams, lets unary calls finish, and resolves when all connections are closed. */
  close(): Promise<void>;
}

/**
 * Registers each call by itself: only streams see the shutdown signal, because a unary call in
 * flight must finish during a planned stop.
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

/** Starts a server for the calls of other daemons, over cleartext HTTP/2. */
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
    // Connections reset by the other side are normal; the session closes by itself.
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
