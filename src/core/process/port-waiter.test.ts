import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import fastify from 'fastify';
import { createLogger } from '../logs/index.ts';
import { createManualTimers, createTimerService } from '../timers/index.ts';
import { createPortWaiter } from './port-waiter.ts';

const HOST = '127.0.0.1';

function buildError(code: string): Error {
  return Object.assign(new Error(code), { code });
}

interface Case {
  name: string;
  error: string;
  /** Time after which the port is free. */
  freeAfterMs: number;
  /** Time after which the process is told to stop. */
  abortedAfterMs?: number;
  expected: string;
}

const cases: Case[] = [
  { name: 'opens a free port', error: 'EADDRINUSE', freeAfterMs: 0, expected: 'open' },
  {
    name: 'waits for a port that a predecessor frees at the end of its grace period',
    error: 'EADDRINUSE',
    freeAfterMs: 8_000,
    expected: 'open',
  },
  {
    name: 'gives up after a while',
    error: 'EADDRINUSE',
    freeAfterMs: 60_000,
    expected: 'EADDRINUSE',
  },
  {
    name: 'gives up when the process is to stop',
    error: 'EADDRINUSE',
    freeAfterMs: 8_000,
    abortedAfterMs: 1_000,
    expected: 'EADDRINUSE',
  },
  {
    name: 'waits for an address that the VM does not have yet',
    error: 'EADDRNOTAVAIL',
    freeAfterMs: 8_000,
    expected: 'open',
  },
  {
    name: 'does not wait after another error',
    error: 'EACCES',
    freeAfterMs: 100,
    expected: 'EACCES',
  },
];

describe('port waiter', () => {
  for (const testCase of cases) {
    // Guards against a process that ends by itself because its predecessor still holds a port.
    it(testCase.name, async () => {
      const timers = createManualTimers();
      const abort = new AbortController();
      const waitForPort = createPortWaiter({
        timers,
        logger: createLogger('test'),
        abortSignal: abort.signal,
      });
      if (testCase.abortedAfterMs !== undefined) {
        timers.scheduleOnce(testCase.abortedAfterMs, () => abort.abort());
      }
      let result = 'pending';
      const open = (): Promise<string> =>
        timers.getMonotonicMs() >= testCase.freeAfterMs
          ? Promise.resolve('open')
          : Promise.reject(buildError(testCase.error));
      waitForPort('address', open).then(
        (value) => {
          result = value;
        },
        (error: Error) => {
          result = error.message;
        },
      );
      await timers.runForAsync(12_000, 50);
      expect(result).toEqual(testCase.expected);
    });
  }

  // Guards against servers and sockets that cannot listen again after a failure.
  it('opens the same server and socket once their port is free', async () => {
    const timers = createTimerService();
    const waitForPort = createPortWaiter({ timers, logger: createLogger('test') });
    const blocker = createServer();
    await new Promise<void>((resolve) => {
      blocker.listen(0, HOST, resolve);
    });
    const { port } = blocker.address() as AddressInfo;
    const blockingSocket = createSocket('udp4');
    await new Promise<void>((resolve) => {
      blockingSocket.bind(port, HOST, resolve);
    });
    timers.scheduleOnce(300, () => {
      blocker.close();
      blockingSocket.close();
    });
    const app = fastify();
    const socket = createSocket('udp4');
    const bind = (): Promise<void> =>
      new Promise((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(port, HOST, resolve);
      });
    await Promise.all([
      waitForPort('server', () => app.listen({ host: HOST, port })),
      waitForPort('socket', bind),
    ]);
    expect((app.server.address() as AddressInfo).port).toEqual(port);
    expect(socket.address().port).toEqual(port);
    socket.close();
    await app.close();
  });
});
