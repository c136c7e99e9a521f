import type { IncomingMessage, ServerResponse } from 'node:http';
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import type { CallerSink, WireFormat } from '../forwarding/index.ts';
import type { RequestHandler } from './request-handler.ts';

/** Options of the HTTP server for callers. */
export interface CallerServerOptions {
  host: string;
  port: number;
  wire: WireFormat;
  handler: RequestHandler;
  /** Whether the gateway is stopping; responses then carry `Connection: close`. */
  isLeaving(): boolean;
}

/** HTTP server that callers connect to. */
export interface CallerServer {
  /** Closes connections without a request in progress. */
  closeIdle(): void;
  close(): Promise<void>;
}

/** Fixed limit on the size of a request body; the configuration may set a lower limit. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/**
 * Fixed limit on the size of request headers. The configured limit is not applied; the
 * configurations in use set the same value.
 */
const MAX_HEADER_BYTES = 16 * 1024;
/** Longer than the 15 s after which callers close an idle connection themselves. */
const KEEP_ALIVE_MS = 20_000;
/**
 * Fixed time limit for receiving request headers. The configured limit is not applied; the
 * configurations in use set 3 s.
 */
const HEADERS_TIMEOUT_MS = 4_000;
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

/** Starts the HTTP server for callers. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const { host, port, wire, handler, isLeaving } = options;
  const app: FastifyInstance = fastify({
    bodyLimit: MAX_BODY_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    exposeHeadRoutes: false,
    forceCloseConnections: false,
    http: { maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS },
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
    reply.hijack();
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    handleCallerRequest(request.raw, reply.raw, body);
  });
  await app.listen({ host, port });
  return {
    closeIdle: () => app.server.closeIdleConnections(),
    async close() {
      app.server.closeAllConnections();
      await app.close();
    },
  };
}
