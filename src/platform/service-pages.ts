import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { formatProblem } from '../core/errors/index.ts';
import type { SocketAddress } from './settings.ts';

/** Answer of the directory: where callers connect, and how long they may rely on it. */
export interface DirectoryAnswer {
  callersAddresses: string[];
  ttlMs: number;
}

/** What the platform and callers ask a gateway, beside requests. */
export interface ServicePagesOptions {
  directory: SocketAddress;
  readiness: SocketAddress;
  metrics: SocketAddress;
  /** Returns undefined if no address can be named. */
  getDirectoryAnswer(): DirectoryAnswer | undefined;
  isReady(): boolean;
  renderMetrics(): Promise<string>;
  /** Called if the metrics cannot be served. */
  handleProblem(problem: string): void;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const MS_PER_SECOND = 1_000;

/** Starts the pages of directory, readiness and metrics. */
export async function startServicePages(
  options: ServicePagesOptions,
): Promise<{ close(): Promise<void> }> {
  const directory = fastify();
  directory.get('/resolve', (_request, reply) => {
    const answer = options.getDirectoryAnswer();
    if (answer === undefined) return reply.code(HTTP_UNAVAILABLE).send({});
    return reply.code(HTTP_OK).send({
      addresses: answer.callersAddresses,
      ttl_s: answer.ttlMs / MS_PER_SECOND,
    });
  });
  const readiness = fastify();
  readiness.get('/ready', (_request, reply) =>
    reply.code(options.isReady() ? HTTP_OK : HTTP_UNAVAILABLE).send(''),
  );
  const metrics = fastify();
  metrics.get('/metrics', async (_request, reply) =>
    reply.type('text/plain; version=0.0.4').send(await options.renderMetrics()),
  );
  const pages: [FastifyInstance, SocketAddress][] = [
    [directory, options.directory],
    [readiness, options.readiness],
  ];
  await Promise.all(pages.map(([app, address]) => app.listen(address)));
  // Another program may use the fixed port of the metrics; the gateway serves without them.
  await metrics.listen(options.metrics).then(
    () => pages.push([metrics, options.metrics]),
    (error: unknown) => options.handleProblem(formatProblem(error)),
  );
  return {
    async close() {
      pages.forEach(([app]) => app.server.closeAllConnections());
      await Promise.all(pages.map(([app]) => app.close()));
    },
  };
}
