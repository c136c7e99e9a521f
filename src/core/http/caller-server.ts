import type { FastifyInstance } from 'fastify';
import fastify from 'fastify';
import { createError, ErrorKind } from '../errors/index.ts';
import { SOCKET_BUFFER_BYTES } from '../streams/index.ts';
import type { AnswerStream } from '../streams/index.ts';
import { Outcome } from '../domain-types/index.ts';
import { createMemoryBudget } from '../memory/index.ts';
import { addCompletionRoutes } from './completion-routes.ts';
import { addBodyBudget } from './body-budget.ts';
import {
  IDLE_CLOSE_INTERVAL_MS,
  MAX_BODY_BYTES,
  MAX_DAEMON_BODY_BYTES,
  REQUEST_TIMEOUT_MS,
} from './consts.ts';
import { readCallerHeaders } from './headers.ts';
import { sendError, sendCallOutcome, sendThrownError } from './replies.ts';
import { addServiceRoutes } from './service-routes.ts';
import { createUnsentResponses } from './unsent-responses.ts';
import type { CallerServer, CallerServerOptions } from './types.ts';

const HTTP_NOT_FOUND = 404;

/** Maximum length of a path parameter; the longest one is a request id with its prefix. */
const MAX_PARAMETER_CHARACTERS = 200;

/** Adds `GET /v1/addresses`, `GET /v1/requests/{id}` and `GET /healthz`. */
function addLookupRoutes(app: FastifyInstance, options: CallerServerOptions): void {
  app.get<{ Querystring: Partial<Record<'customer' | 'zone', string>> }>(
    '/v1/addresses',
    (request, reply) => {
      const { customer, zone } = request.query;
      if (typeof customer !== 'string' || customer === '') {
        const details = { path: 'query customer', problem: 'is missing' };
        throw createError(ErrorKind.RequestInvalid, details);
      }
      return reply
        .header('x-outcome', Outcome.Done)
        .send(options.getAddresses({ customer, availabilityZone: zone }));
    },
  );

  app.get('/healthz', (_, reply) =>
    reply
      .header('x-outcome', Outcome.Done)
      .send({ status: 'ok', requests: options.inFlight.countRequests() }),
  );

  app.get<{ Params: { id: string } }>('/v1/requests/:id', async (request, reply) => {
    readCallerHeaders(request.headers);
    return sendCallOutcome(reply, await options.router.lookUpCall(request.params.id));
  });
}

function createApp(): FastifyInstance {
  const app = fastify({
    bodyLimit: MAX_BODY_BYTES,
    // Requests that arrive on open connections during shutdown are still served.
    return503OnClosing: false,
    // Text beyond this limit stays in the answer stream, which counts its buffered bytes.
    http: { highWaterMark: SOCKET_BUFFER_BYTES },
    requestTimeout: REQUEST_TIMEOUT_MS,
    routerOptions: { maxParamLength: MAX_PARAMETER_CHARACTERS },
  });
  addBodyBudget(app, createMemoryBudget(MAX_DAEMON_BODY_BYTES));
  app.setErrorHandler((error, _, reply) => sendThrownError(reply, error));
  app.setNotFoundHandler((request, reply) => {
    const details = { path: `${request.method} ${request.url}`, problem: 'no such route' };
    const error = createError(ErrorKind.RequestInvalid, details);
    return sendError(reply, error, Outcome.NotRun, HTTP_NOT_FOUND);
  });
  return app;
}

/** Creates the HTTP server that callers connect to; `start` makes it listen. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { timers } = options;
  const running = new Set<AnswerStream>();
  const unsentResponses = createUnsentResponses();
  const app = createApp();
  app.addHook('onRequest', (_, reply, done) => {
    unsentResponses.track(reply.raw);
    done();
  });

  addLookupRoutes(app, options);
  addCompletionRoutes(app, options, {
    add(stream) {
      running.add(stream);
      void stream.finished.finally(() => running.delete(stream));
    },
  });
  void app.register((instance, _, done) => {
    addServiceRoutes(instance, options);
    done();
  });

  return {
    async start() {
      await app.listen({ host: options.address, port: options.port });
      const address = app.server.address();
      return typeof address === 'object' && address !== null ? address.port : options.port;
    },
    async close() {
      await unsentResponses.waitUntilEndedSent();
      // A keep-alive connection becomes idle only after its last response, so idle connections are
      // closed periodically, unless a response is on its way on one that Node.js counts as idle.
      const stopPolling = timers.subscribe(IDLE_CLOSE_INTERVAL_MS, () => {
        if (unsentResponses.count() === 0) app.server.closeIdleConnections();
      });
      await app.close();
      await Promise.all([...running].map(({ finished }) => finished));
      stopPolling();
    },
    countStreams: () => running.size,
    getBufferedBytes: () => [...running].reduce((sum, stream) => sum + stream.getHeldBytes(), 0),
  };
}
