import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../fleet/index.ts';
import { createTimerService } from '../timers/index.ts';
import { createTargetClient } from './target-client.ts';
import type { ResponseHead, CallerRequest, WireFormat } from './types.ts';

const timers = createTimerService();

/** Delay that lets the bytes arrive before the connection ends. */
const END_DELAY_MS = 20;

const HEAD: ResponseHead = {
  status: 200,
  isSigned: true,
  isNotRun: false,
  callerAttemptId: undefined,
  faultyTargetId: undefined,
  isEncoded: false,
  forwardedHeaders: [],
};

const WIRE: WireFormat = {
  parseRequest: () => ({}) as CallerRequest,
  buildTargetHeaders: () => [],
  parseResponseHead: (status) => ({ ...HEAD, status }),
  buildRetryHeaders: () => [],
};

/** Runs one exchange with a server that writes the bytes and then ends its connection. */
async function runExchange(
  bytes: string,
  isLate: boolean,
  end: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    const endLater = () => timers.scheduleOnce(END_DELAY_MS, () => end(socket));
    const endNow = () => end(socket);
    socket.once('data', () => socket.write(bytes, isLate ? endLater : endNow));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createTargetClient(WIRE, timers);
  const result = await new Promise<string>((resolve) => {
    client.send(
      {
        request: { method: 'POST', path: '/' } as CallerRequest,
        body: Buffer.from('x'),
        target: { id: 't', address: `127.0.0.1:${port}` } as Target,
        remainingMs: 1_000,
        customer: undefined,
        lastEventId: undefined,
      },
      {
        handleSent: () => undefined,
        handleHead: () => undefined,
        handleData: () => undefined,
        handleEnd: () => resolve('complete'),
        handleError: (wasSent) => resolve(wasSent ? 'broken' : 'not sent'),
      },
    );
  });
  await client.close();
  server.close();
  return result;
}

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n';
const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

// Guards against treating a response whose connection broke as complete (rule MIXED, rodopi-wax
// fresh-f391).
describe('target client', () => {
  const cases = [
    {
      name: 'chunks that end',
      bytes: `${CHUNKED}3\r\nabc\r\n0\r\n\r\n`,
      reset: false,
      expected: 'complete',
    },
    {
      name: 'chunks cut by a reset',
      bytes: `${CHUNKED}3\r\nabc\r\n`,
      reset: true,
      expected: 'broken',
    },
    {
      name: 'chunks cut by a close',
      bytes: `${CHUNKED}3\r\nabc\r\n`,
      reset: false,
      expected: 'broken',
    },
    { name: 'no length, closed', bytes: `${UNFRAMED}abc`, reset: false, expected: 'complete' },
    { name: 'no length, reset', bytes: `${UNFRAMED}abc`, reset: true, expected: 'broken' },
  ];
  for (const { name, bytes, reset, expected } of cases) {
    // The end of a connection may arrive together with the last bytes or after them.
    for (const isLate of [false, true]) {
      it(`reports ${expected} for ${name}, ${isLate ? 'later' : 'at once'}`, async () => {
        const result = await runExchange(bytes, isLate, (socket) =>
          reset ? socket.resetAndDestroy() : socket.end(),
        );
        expect(result).toEqual(expected);
      });
    }
  }
});
