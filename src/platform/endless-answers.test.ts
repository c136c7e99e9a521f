import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../core/fleet/index.ts';
import { OrderResult } from '../core/formation/types.ts';
import { Consistency, StoreFailure, StoreKind } from '../core/store/index.ts';
import { createTimerService } from '../core/timers/index.ts';
import { createEngineControl } from './engine-control.ts';
import type { EndlessServer } from '../core/http/fixtures/endless-server.ts';
import { EndlessPart, startEndlessServer } from '../core/http/fixtures/endless-server.ts';
import { createStoreClient } from './store-client.ts';

const HOST = '127.0.0.1';
/** Two answers, each of a few pages of 1 MB, and up to 10 MB that the system buffers for each. */
const MAX_SENT_BYTES = 28 * 1024 * 1024;
const WATCH_MS = 400;

/** Answers that take the processor, so that a busy machine does not reach their limit in time. */
const SLOW_PARTS: ReadonlySet<EndlessPart> = new Set([
  EndlessPart.InterimResponses,
  EndlessPart.Chunks,
]);
const SLOW_FACTOR = 8;

/** Creates timers with which the limit on bytes comes before the limit of time. */
function createTestTimers(part: EndlessPart) {
  const timers = createTimerService();
  const factor = SLOW_PARTS.has(part) ? SLOW_FACTOR : 1;
  return {
    getMonotonicMs: timers.getMonotonicMs,
    scheduleOnce: (delayMs: number, listener: () => void) =>
      timers.scheduleOnce(delayMs * factor, listener),
  };
}

async function runWithServer(
  part: EndlessPart,
  run: (server: EndlessServer) => Promise<void>,
): Promise<void> {
  const server = await startEndlessServer(part);
  try {
    await run(server);
    expect(server.countSentBytes() < MAX_SENT_BYTES).toEqual(true);
  } finally {
    server.close();
  }
}

const PARTS = Object.values(EndlessPart);

describe('answers of the store that do not end', () => {
  for (const part of PARTS) {
    // Guards against an answer that fills the memory until the call times out.
    it(`are given up, for a list and a watch with an endless ${part}`, () =>
      runWithServer(part, async ({ port }) => {
        const client = createStoreClient({ host: HOST, port }, createTestTimers(part));
        const results = await Promise.all([
          client.listObjects(StoreKind.Targets, Consistency.Current),
          client.watchObjects(StoreKind.Targets, 1, WATCH_MS),
        ]);
        await client.close();
        for (const result of results) {
          expect('problem' in result && result.problem).toEqual(expect.includes('the limit of'));
        }
      }));
  }

  // Guards against a watch that is repeated for ever because its changes do not fit into one answer.
  it('make the kind be listed, for a watch', () =>
    runWithServer(EndlessPart.Body, async ({ port }) => {
      const client = createStoreClient({ host: HOST, port }, createTimerService());
      const { kind } = await client.watchObjects(StoreKind.Targets, 1, WATCH_MS);
      await client.close();
      expect(kind).toEqual(StoreFailure.HistoryGone);
    }));
});

describe('answers of an engine that do not end', () => {
  const target = (port: number): Target => ({ id: 'i-1', address: `${HOST}:${port}` }) as Target;
  for (const part of PARTS) {
    // Guards against an answer that fills the memory until the call times out.
    it(`are given up, for an order and a query with an endless ${part}`, () =>
      runWithServer(part, async ({ port }) => {
        const control = createEngineControl(createTestTimers(part));
        const order = { kind: 'open', group: 'g1', epoch: 1 } as const;
        expect(await control.sendOrder(target(port), order)).toEqual(OrderResult.Unknown);
        expect(await control.queryState(target(port), WATCH_MS)).toEqual(undefined);
      }));
  }
});

describe('lists of the store that do not end', () => {
  const item = (name: string) => ({ metadata: { name, revision: 1 }, spec: {}, status: null });
  const cases = [
    { name: 'each page brings others', build: (page: number) => [item(`i-${page}`)] },
    { name: 'each page is the same', build: () => [item('i-1')] },
    {
      name: 'each page is large',
      build: (page: number) => [{ ...item(`i-${page}`), spec: 'x'.repeat(1_000_000) }],
    },
  ];
  for (const { name, build } of cases) {
    // Guards against a list that is read for ever and held whole.
    it(`fail if ${name}`, async () => {
      let pages = 0;
      const server = createServer((_request, response) => {
        pages++;
        response.end(JSON.stringify({ items: build(pages), more: pages < 200, as_of: 1 }));
      });
      await new Promise<void>((resolve) => {
        server.listen(0, HOST, resolve);
      });
      const { port } = server.address() as AddressInfo;
      const client = createStoreClient({ host: HOST, port }, createTimerService());
      const result = await client.listObjects(StoreKind.Targets, Consistency.Current);
      await client.close();
      server.close();
      expect(result.kind).toEqual(StoreFailure.NotDone);
      expect('problem' in result && result.problem).toEqual(expect.includes('the limit of'));
    });
  }
});
