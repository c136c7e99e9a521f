import { createServer } from 'node:http';
import type { Server, ServerOptions, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import fastify from 'fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { WireFormat } from '../forwarding/index.ts';
import { createUnsentResponses } from '../http/unsent-responses.ts';
import type { MemoryBudget } from '../memory/index.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import { endLastResponse } from './end-last-response.ts';
import { countHeaderBytes } from './header-bytes.ts';
import type { PipelineLimit } from './pipeline-limit.ts';
import { createPipelineLimit } from './pipeline-limit.ts';
import { createQueuedResponseTracker } from './queued-responses.ts';
import type { RequestHandler } from './request-handler.ts';
import { createRequestReceiver } from './receive-request.ts';

/** Limits of the configuration on what callers send, and on how long they take. */
export type CallerLimits = Pick<
  ServingConfiguration['limits'],
  'maxBodyBytes' | 'maxHeaderBytes' | 'headerTimeoutMs' | 'idleTimeoutMs'
>;

/** Options of the HTTP server for callers. */
export interface CallerServerOptions {
  host: string;
  port: number;
  wire: Pick<WireFormat, 'parseRequest'>;
  handler: RequestHandler;
  /** Budget for what is held for callers. */
  budget: Pick<MemoryBudget, 'openAccount' | 'isShort'>;
  errorReporter: ErrorReporter;
  timers: Pick<TimerService, 'scheduleOnce'>;
  /** Time without progress after which the connection of a caller that does not read is closed. */
  unreadLimitMs?: number;
  /** Whether the gateway is stopping; responses then carry `Connection: close`. */
  isLeaving(): boolean;
  /** Limits the connections that the server accepts; default: no limit. */
  limitConnections?(server: Server): void;
}

/** HTTP server that callers connect to. */
export interface CallerServer {
  /** Port that the server listens on; the system chooses it if the option is 0. */
  port: number;
  /** Applies the limits of a configuration to connections and to later requests. */
  setLimits(limits: CallerLimits): void;
  /** Responses that callers have not taken whole yet. */
  countUnsentResponses(): number;
  /**
   * Waits up to `limitMs` until callers have taken the responses that are under way, then stops
   * accepting connections and waits until the requests that callers have begun to send are answered.
   * Closes what is left at the limit.
   */
  close(limitMs: number): Promise<void>;
}

/** Fixed limit on the size of a request body; the configuration may set a lower limit. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Fixed limit on the size of request headers; the configuration may set a lower limit. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Limits until a configuration has been read; callers close idle connections after 15 s. */
const INITIAL_LIMITS: CallerLimits = {
  maxBodyBytes: MAX_BODY_BYTES,
  maxHeaderBytes: MAX_HEADER_BYTES,
  headerTimeoutMs: 4_000,
  idleTimeoutMs: 19_000,
};
/** Callers use idle connections up to their limit, so the gateway closes them a little later. */
const IDLE_MARGIN_MS = 1_000;
/** Limit on the time to receive a whole request; longer than any deadline of a caller. */
const REQUEST_TIMEOUT_MS = 15_000;
/** Interval at which connections are checked against the limits above. */
const CONNECTION_CHECK_PERIOD_MS = 500;
const SERVER_OPTIONS: ServerOptions = {
  maxHeaderSize: MAX_HEADER_BYTES,
  headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
  keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS,
};
/** Callers give up within their deadlines, which are shorter. */
const DEFAULT_UNREAD_LIMIT_MS = 10_000;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_BAD_GATEWAY = 502;
const NO_BODY = Buffer.alloc(0);

/** Ends the response to a request that an unexpected error has stopped; it may have been sent. */
function endFailedResponse(
  response: ServerResponse,
  timers: Pick<TimerService, 'scheduleOnce'>,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(HTTP_BAD_GATEWAY, ['Content-Length', '0', 'Connection', 'close']);
  endLastResponse(response, NO_BODY, timers);
}

/** Starts the HTTP server for callers. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const { host, port, errorReporter, timers } = options;
  let limits = INITIAL_LIMITS;
  const unsentResponses = createUnsentResponses();
  const trackQueuedResponse = createQueuedResponseTracker();
  let pipelineLimit: PipelineLimit | undefined;
  const app: FastifyInstance = fastify({
    exposeHeadRoutes: false,
    forceCloseConnections: false,
    serverFactory(handle) {
      const limit = createPipelineLimit(timers, handle);
      pipelineLimit = limit;
      return createServer(SERVER_OPTIONS, limit.schedule);
    },
  });
  const receiveRequest = createRequestReceiver({
    unreadLimitMs: DEFAULT_UNREAD_LIMIT_MS,
    ...options,
    isExcess: (incoming) => pipelineLimit?.isExcess(incoming) === true,
    getMaxBodyBytes: () => Math.min(limits.maxBodyBytes, MAX_BODY_BYTES),
    handleFailure(error, response) {
      errorReporter.report(ErrorOrigin.Request, error);
      endFailedResponse(response, timers);
    },
  });
  const respond = (reply: FastifyReply): void => {
    const { raw: response } = reply;
    const { raw: incoming } = reply.request;
    trackQueuedResponse(incoming.socket, response);
    unsentResponses.track(response);
    if (countHeaderBytes(incoming.rawHeaders) > limits.maxHeaderBytes) {
      response.writeHead(HTTP_HEADERS_TOO_LARGE, ['Content-Length', '0']);
      response.end();
      return;
    }
    receiveRequest(incoming, response);
  };
  // Takes requests over before Fastify reads their bodies, which it would hold without a bound.
  app.addHook('onRequest', (_request, reply, done) => {
    reply.hijack();
    respond(reply);
    done();
  });
  app.all('*', () => undefined);
  options.limitConnections?.(app.server);
  await app.listen({ host, port });
  const { port: boundPort } = app.server.address() as AddressInfo;
  return {
    port: boundPort,
    setLimits(changed) {
      limits = changed;
      app.server.headersTimeout = changed.headerTimeoutMs;
      app.server.keepAliveTimeout = changed.idleTimeoutMs + IDLE_MARGIN_MS;
    },
    countUnsentResponses: unsentResponses.count,
    async close(limitMs) {
      let isLimitOver = false;
      const cancelLimit = timers.scheduleOnce(limitMs, () => {
        isLimitOver = true;
        app.server.closeAllConnections();
      });
      await unsentResponses.waitUntilSent();
      await new Promise<void>((resolve) => {
        app.server.close(() => resolve());
        // Connections may have come since the limit, as the server was still open.
        if (isLimitOver) app.server.closeAllConnections();
      });
      cancelLimit();
      await app.close();
    },
  };
}
