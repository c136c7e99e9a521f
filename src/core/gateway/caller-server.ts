import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { CallerSink, WireFormat } from '../forwarding/index.ts';
import { createUnsentResponses } from '../http/unsent-responses.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { RequestHandler } from './request-handler.ts';

/** Limits of the configuration on what callers send, and on how long they take. */
export type CallerLimits = Pick<
  ServingConfiguration['limits'],
  'maxHeaderBytes' | 'headerTimeoutMs' | 'idleTimeoutMs'
>;

/** Options of the HTTP server for callers. */
export interface CallerServerOptions {
  host: string;
  port: number;
  wire: Pick<WireFormat, 'parseRequest'>;
  handler: RequestHandler;
  errorReporter: ErrorReporter;
  timers: Pick<TimerService, 'scheduleOnce'>;
  /** Whether the gateway is stopping; responses then carry `Connection: close`. */
  isLeaving(): boolean;
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
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_BAD_GATEWAY = 502;
/** Bytes buffered for a slow caller before the gateway stops reading from the target. */
const HIGH_WATER_MARK_BYTES = 64 * 1024;

/** Creates a sink that writes the response to one request to a Node.js response. */
function createSink(response: ServerResponse, isLeaving: () => boolean): CallerSink {
  const listConnectionHeaders = (): string[] => (isLeaving() ? ['Connection', 'close'] : []);
  return {
    sendResponse(status, headers, body) {
      const length = ['Content-Length', String(body.length)];
      response.writeHead(status, [...headers, ...length, ...listConnectionHeaders()]);
      response.end(body);
    },
    startBody(status, headers) {
      response.writeHead(status, [...headers, ...listConnectionHeaders()]);
    },
    writeBody(part) {
      response.write(part);
      return response.writableLength < HIGH_WATER_MARK_BYTES;
    },
    endBody: () => {
      response.end();
    },
    abort: () => {
      response.destroy();
    },
    onWritable: (listener) => {
      response.once('drain', listener);
    },
  };
}

/** Counts the bytes of header fields as sent, with `: ` and the line end of each. */
function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((total, part) => total + part.length + 2, 0);
}

/** Ends the response to a request that an unexpected error has stopped; it may have been sent. */
function endFailedResponse(response: ServerResponse): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(HTTP_BAD_GATEWAY, ['Content-Length', '0', 'Connection', 'close']);
  response.end();
}

/** Starts the HTTP server for callers. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const { host, port, wire, handler, errorReporter, timers, isLeaving } = options;
  let limits = INITIAL_LIMITS;
  const unsentResponses = createUnsentResponses();
  const app: FastifyInstance = fastify({
    bodyLimit: MAX_BODY_BYTES,
    keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    exposeHeadRoutes: false,
    forceCloseConnections: false,
    http: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS,
    },
  });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  app.setErrorHandler((error: { statusCode?: number }, _request, reply) => {
    void reply.code(error.statusCode ?? 500).send('');
  });

  const handleCallerRequest = (
    raw: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void => {
    const request = wire.parseRequest(raw.method ?? 'GET', raw.url ?? '/', raw.rawHeaders);
    const forwardedRequest = handler.handleRequest(request, body, createSink(response, isLeaving));
    response.on('close', () => {
      if (!response.writableFinished) forwardedRequest?.abandon();
    });
  };

  app.all('*', (request, reply) => {
    if (countHeaderBytes(request.raw.rawHeaders) > limits.maxHeaderBytes) {
      void reply.code(HTTP_HEADERS_TOO_LARGE).send('');
      return;
    }
    reply.hijack();
    unsentResponses.track(reply.raw);
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    try {
      handleCallerRequest(request.raw, reply.raw, body);
    } catch (error) {
      errorReporter.report(ErrorOrigin.Request, error);
      endFailedResponse(reply.raw);
    }
  });
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
