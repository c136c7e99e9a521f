import { once } from 'node:events';
import { createConnection } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../timers/index.ts';
import { createCallerServer } from './index.ts';
import type { CallerServerOptions } from './index.ts';

/** More than the buffers of both ends of a connection hold. */
const ANSWER_CHARACTERS = 16 * 1_024 * 1_024;
/** Time for the server to hand the answer over before it is stopped. */
const ANSWER_MS = 200;

describe('a stop of the entry daemon', () => {
  // Guards against answers that Node.js counts as sent as soon as they are handed over.
  it('does not cut a large answer that its caller reads after the stop has begun', async () => {
    const timers = createTimerService();
    const server = createCallerServer({
      address: '127.0.0.1',
      port: 0,
      timers,
      getAddresses: () => ({ text: 'x'.repeat(ANSWER_CHARACTERS) }),
      // Not used by the path that the test calls.
    } as unknown as CallerServerOptions);
    const socket = createConnection(await server.start(), '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write('GET /v1/addresses?customer=orchard HTTP/1.1\r\nHost: x\r\n\r\n');
    socket.pause();
    await timers.waitFor(ANSWER_MS);
    const closed = server.close();
    await timers.waitFor(ANSWER_MS);
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
    });
    socket.resume();
    await once(socket, 'close');
    await closed;
    expect(received.length > ANSWER_CHARACTERS).toEqual(true);
    expect(received.endsWith('"}')).toEqual(true);
  });
});
