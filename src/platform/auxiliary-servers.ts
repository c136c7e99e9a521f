import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import type { LimitConnections } from '../core/connections/index.ts';
import { ConnectionKind } from '../core/connections/index.ts';
import type { CallerLocation, DirectoryResponse } from '../core/directory/index.ts';
import { formatProblem } from '../core/errors/index.ts';
import type { WaitForPort } from '../core/process/port-waiter.ts';
import type { SocketAddress } from './settings.ts';

/** Listen addresses and handlers of the directory, readiness and metrics servers. */
export interface AuxiliaryServerOptions {
  directory: SocketAddress;
  readiness: SocketAddress;
  metrics: SocketAddress;
  waitForPort: WaitForPort;
  /** Returns undefined if no gateway is ready. */
  getDirectoryResponse(caller: CallerLocation): DirectoryResponse | undefined;
  isReady(): boolean;
  renderMetrics(): Promise<string>;
  /** Limits the connections that each server accepts. */
  limitConnections: LimitConnections;
  /** Called with the error if the metrics server cannot listen; the other servers still start. */
  handleProblem(problem: string): void;
}

/**
 * Limits of all three servers; their requests are small and have no body. Without them, one that
 * never ends keeps its connection for minutes. An idle connection is closed after 20 s.
 */
const SERVER_OPTIONS = {
  bodyLimit: 1_024,
  requestTimeout: 5_000,
  keepAliveTimeout: 20_000,
  http: { headersTimeout: 3_000, connectionsCheckingInterval: 1_000 },
} as const;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const MS_PER_SECOND = 1_000;

/** A name that is missing, empty or given twice is unknown. */
const locationSchema = z.object({
  zone: z.string().min(1).optional().catch(undefined),
  region: z.string().min(1).optional().catch(undefined),
});

/** Decodes where a caller says that it is. */
function decodeLocation(query: unknown): CallerLocation {
  const { zone, region } = locationSchema.parse(query);
  return { availabilityZone: zone, region };
}

/** Starts the directory, readiness and metrics servers; throws if one of the first two fails. */
export async function startAuxiliaryServers(
  options: AuxiliaryServerOptions,
): Promise<{ close(): Promise<void> }> {
  const directory = fastify(SERVER_OPTIONS);
  directory.get('/resolve', (request, reply) => {
    const response = options.getDirectoryResponse(decodeLocation(request.query));
    if (response === undefined) return reply.code(HTTP_UNAVAILABLE).send({});
    return reply.code(HTTP_OK).send({
      addresses: response.callersAddresses,
      ttl_s: response.ttlMs / MS_PER_SECOND,
    });
  });
  const readiness = fastify(SERVER_OPTIONS);
  readiness.get('/ready', (_request, reply) =>
    reply.code(options.isReady() ? HTTP_OK : HTTP_UNAVAILABLE).send(''),
  );
  const metrics = fastify(SERVER_OPTIONS);
  metrics.get('/metrics', async (_request, reply) =>
    reply.type('text/plain; version=0.0.4').send(await options.renderMetrics()),
  );
  options.limitConnections(ConnectionKind.Directory, directory.server);
  options.limitConnections(ConnectionKind.Readiness, readiness.server);
  options.limitConnections(ConnectionKind.Metrics, metrics.server);
  const servers: [FastifyInstance, SocketAddress][] = [
    [directory, options.directory],
    [readiness, options.readiness],
  ];
  await Promise.all(
    servers.map(([app, address]) =>
      options.waitForPort(`${address.host}:${address.port}`, () => app.listen(address)),
    ),
  );
  // Another program may use the fixed metrics port; the gateway then runs without metrics.
  await metrics.listen(options.metrics).then(
    () => servers.push([metrics, options.metrics]),
    (error: unknown) => options.handleProblem(formatProblem(error)),
  );
  return {
    async close() {
      servers.forEach(([app]) => app.server.closeAllConnections());
      await Promise.all(servers.map(([app]) => app.close()));
    },
  };
}
