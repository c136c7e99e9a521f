import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { createTimerService } from '../timers/index.ts';
import { checkSeeds, LoadOutcome, renderHtmlReport, runLoad, scenarioSchema } from './index.ts';
import type { Scenario } from './index.ts';

const TOKENS = 6;
const timers = createTimerService();

/** Fake entry daemon that cuts each completion once and reports orders as unknown at first. */
interface FakeEntry {
  app: FastifyInstance;
  port: number;
  addressQueries: number;
  resumed: number;
  orderIds: string[];
}

function formatChunk(offset: number, total?: number): string {
  const chunk = {
    choices: [{ text: total === undefined ? `t${offset} ` : '' }],
    ...(total !== undefined && { usage: { completion_tokens: total } }),
  };
  const id = total === undefined ? `id: token-${offset}\n` : '';
  return `${id}data: ${JSON.stringify(chunk)}\n\n`;
}

async function startEntry(returnedAddress = '127.0.0.1'): Promise<FakeEntry> {
  const app = fastify({ forceCloseConnections: true });
  const entry: FakeEntry = { app, port: 0, addressQueries: 0, resumed: 0, orderIds: [] };
  app.get('/v1/addresses', () => {
    entry.addressQueries++;
    const endpoint = { daemon: 'entry-1', address: returnedAddress, port: entry.port };
    const addresses = [{ ...endpoint, availabilityZone: 'sofia-a' }];
    return { addresses, lifetimeMs: 30_000, requestIdPrefix: 'p-' };
  });
  app.post('/v1/completions', async (request, reply) => {
    reply.hijack();
    const last = /token-(?<offset>\d+)/.exec(String(request.headers['last-event-id']));
    const from = last === null ? 0 : Number(last.groups?.offset) + 1;
    reply.raw.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': 'r-1' });
    if (last === null) {
      reply.raw.write(formatChunk(0) + formatChunk(1));
      await timers.waitFor(20);
      request.raw.socket.destroy();
      return;
    }
    entry.resumed++;
    for (let offset = from; offset < TOKENS; offset++) reply.raw.write(formatChunk(offset));
    reply.raw.end(`${formatChunk(0, TOKENS)}data: [DONE]\n\n`);
  });
  app.post('/v1/services/orders/bookings', (request, reply) => {
    entry.orderIds.push(String(request.headers['x-request-id']));
    return reply.status(502).header('x-outcome', 'unknown').send({});
  });
  app.get('/v1/requests/:id', (_request, reply) =>
    reply.status(200).header('x-outcome', 'done').send({}),
  );
  await app.listen({ host: '127.0.0.1', port: 0 });
  const bound = app.server.address();
  entry.port = bound !== null && typeof bound === 'object' ? bound.port : 0;
  return entry;
}

function buildScenario(port: number, overrides: object = {}): Scenario {
  return scenarioSchema.parse({
    seeds: [{ address: '127.0.0.1', port }],
    durationMs: 1_000,
    maxRequests: 12,
    slowReadMs: 10,
    customers: [{ customer: 'orchard', model: 'assist-7b', requestsPerSecond: 60, ...overrides }],
  });
}

describe('runLoad', () => {
  let entry: FakeEntry | undefined;

  afterEach(async () => {
    await entry?.app.close();
    entry = undefined;
  });

  it('resumes broken streams and does not exceed the maximum number of requests', async () => {
    entry = await startEntry();
    const scenario = buildScenario(entry.port, { slowReaderShare: 0.5 });
    const statistics = await runLoad({ scenario, targets: [], timers });
    expect(statistics.arrivals).toEqual(12);
    expect(statistics.outcomes[LoadOutcome.CompletionDone]).toEqual(12);
    expect(statistics.resumes).toEqual(12);
    expect(entry.resumed).toEqual(12);
  });

  // Guards against a load run that executes an order twice (I7).
  it('never resends an order after an unknown outcome', async () => {
    entry = await startEntry();
    const scenario = buildScenario(entry.port, { service: 'orders', orderShare: 1 });
    const statistics = await runLoad({ scenario, targets: [], timers });
    expect(statistics.outcomes[LoadOutcome.OrderDone]).toEqual(12);
    expect(entry.orderIds).toHaveLength(12);
    expect(new Set(entry.orderIds).size).toEqual(12);
    // Addresses are cached for their lifetime; only requests that arrive before the first response
    // may query them as well.
    expect(entry.addressQueries < 12).toEqual(true);
  });

  // Guards against load on other machines that were not passed with --target.
  it('rejects addresses of other machines', async () => {
    expect(() => checkSeeds([{ address: '192.0.2.1', port: 80 }])).toThrow('--target');
    entry = await startEntry('192.0.2.1');
    const statistics = await runLoad({ scenario: buildScenario(entry.port), targets: [], timers });
    expect(statistics.outcomes[LoadOutcome.CompletionFailed]).toEqual(12);
    expect(entry.resumed).toEqual(0);
    // Each request queries the loopback seed once and fails; none is sent to the fetched address.
    expect(entry.addressQueries).toEqual(12);
  });

  it('renders a self-contained report', async () => {
    entry = await startEntry();
    const scenario = buildScenario(entry.port);
    const report = renderHtmlReport(await runLoad({ scenario, targets: [], timers }), scenario);
    expect(report).toInclude('first-token');
    expect(/(?:src|href)=/.test(report)).toEqual(false);
  });
});
