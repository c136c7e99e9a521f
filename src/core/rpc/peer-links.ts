import type { Transport } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import { formatOrigin } from '../origin/index.ts';
import {
  DEFAULT_CALL_DEADLINE_MS,
  IDLE_CONNECTION_TIMEOUT_MS,
  MAX_MESSAGE_BYTES,
  PEER_PING_DEADLINE_MS,
  PEER_PING_PERIOD_MS,
} from './consts.ts';
import { PeerService } from './generated/clementinefork/v1/peer_pb.ts';
import type { PeerClient, PeerLinks } from './types.ts';

/** Timeouts of `createPeerLinks`; the defaults are in consts.ts. */
export interface PeerLinksOptions {
  pingPeriodMs?: number;
  pingDeadlineMs?: number;
  callDeadlineMs?: number;
  idleConnectionTimeoutMs?: number;
}

interface PeerLink {
  sessionManager: Http2SessionManager;
  client: PeerClient;
}

/** Adds a default deadline to unary calls; streams stay open until one side ends them. */
function addCallDeadline(transport: Transport, callDeadlineMs: number): Transport {
  return {
    unary: (method, signal, timeoutMs, header, input, contextValues) =>
      transport.unary(method, signal, timeoutMs ?? callDeadlineMs, header, input, contextValues),
    stream: (...parameters) => transport.stream(...parameters),
  };
}

/**
 * Creates a pool of connections to other daemons. Each address has one HTTP/2 connection, which is
 * opened by the first call. After a connection failure, the next call reconnects.
 */
export function createPeerLinks(options: PeerLinksOptions = {}): PeerLinks {
  const links = new Map<string, PeerLink>();
  let isClosed = false;

  const openLink = (baseUrl: string): PeerLink => {
    const sessionManager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: options.pingPeriodMs ?? PEER_PING_PERIOD_MS,
      pingTimeoutMs: options.pingDeadlineMs ?? PEER_PING_DEADLINE_MS,
      idleConnectionTimeoutMs: options.idleConnectionTimeoutMs ?? IDLE_CONNECTION_TIMEOUT_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const deadlineMs = options.callDeadlineMs ?? DEFAULT_CALL_DEADLINE_MS;
    return {
      sessionManager,
      client: createClient(PeerService, addCallDeadline(transport, deadlineMs)),
    };
  };

  return {
    getClient(address, port) {
      const baseUrl = formatOrigin({ address, port });
      const link = links.get(baseUrl) ?? openLink(baseUrl);
      if (!isClosed) links.set(baseUrl, link);
      return link.client;
    },
    close() {
      isClosed = true;
      links.forEach(({ sessionManager }) => sessionManager.abort());
      links.clear();
    },
  };
}
