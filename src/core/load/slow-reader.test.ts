import { describe, it } from 'node:test';
import { expect } from 'earl';
import fastify from 'fastify';
import { Agent, request } from 'undici';
import { createTimerService } from '../timers/index.ts';
import { createSlowDispatcher } from './slow-reader.ts';

const PAUSE_MS = 40;
const CHUNKS = 6;

describe('createSlowDispatcher', () => {
  // Guards against slow readers that read at full speed and so don't exercise backpressure.
  it('pauses after each chunk and reads the whole body', async () => {
    const timers = createTimerService();
    const app = fastify({ forceCloseConnections: true });
    app.get('/', async (_request, reply) => {
      reply.hijack();
      for (let index = 0; index < CHUNKS; index++) {
        reply.raw.write(`${index} `);
        await timers.waitFor(1);
      }
      reply.raw.end();
    });
    const url = await app.listen({ host: '127.0.0.1', port: 0 });
    const dispatcher = createSlowDispatcher(new Agent(), timers, PAUSE_MS);
    const startMs = timers.getMonotonicMs();
    const { body } = await request(url, { dispatcher });
    expect(await body.text()).toEqual('0 1 2 3 4 5 ');
    expect(timers.getMonotonicMs() - startMs >= (CHUNKS - 1) * PAUSE_MS).toEqual(true);
    await dispatcher.destroy();
    await app.close();
  });
});
