import { readdirSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_ADVICE } from '../advisories/index.ts';
import type { Target } from '../fleet/index.ts';
import { createTimerService } from '../timers/index.ts';
import type { ExchangeListener, TargetClient, TargetExchange } from './target-client.ts';
import { createTargetClient, SendFailure } from './target-client.ts';
import type { ResponseHead, CallerRequest, WireFormat } from './types.ts';

const timers = createTimerService();

const MAX_SENT_BYTES = 8 * 1024 * 1024;
/** Delay that lets the bytes arrive before the connection ends. */
const END_DELAY_MS = 20;

const HEAD: ResponseHead = {
  status: 200,
  isSigned: true,
  isNotRun: false,
  callerAttemptId: undefined,
  faultyTargetId: undefined,
  isEncoded: false,
  advice: NO_ADVICE,
  forwardedHeaders: [],
};

const WIRE: WireFormat = {
  parseRequest: () => ({}) as CallerRequest,
  buildTargetHeaders: () => [],
  parseResponseHead: (status) => ({ ...HEAD, status }),
  buildRetryHeaders: () => [],
};

/** How an exchange ended, and the body that arrived; `calls` counts the ends that were reported. */
interface ExchangeResult {
  outcome: string;
  body: string;
  calls: number;
}

/** Runs one exchange with a server that handles the connection once the request has arrived. */
async function runExchangeWith(
  handleRequest: (socket: Socket) => void,
  path = '/',
  handlePart: () => void = () => undefined,
): Promise<ExchangeResult> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => handleRequest(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createTargetClient(WIRE, timers);
  const result: ExchangeResult = { outcome: '', body: '', calls: 0 };
  await new Promise<void>((resolve) => {
    const end = (outcome: string): void => {
      result.outcome = outcome;
      result.calls++;
      resolve();
    };
    client.send(
      {
        request: { method: 'POST', path } as CallerRequest,
        body: Buffer.from('x'),
        target: { id: 't', address: `127.0.0.1:${port}` } as Target,
        remainingMs: 1_000,
        customer: undefined,
        lastEventId: undefined,
        isUrgent: false,
      },
      {
        handleSent: () => undefined,
        handleHead: () => undefined,
        handleData: (chunk) => {
          result.body += chunk.toString();
          handlePart();
        },
        handleEnd: () => end('complete'),
        handleError: (failure) => end(failure === SendFailure.Sent ? 'broken' : failure),
      },
    );
  });
  await timers.waitFor(2 * END_DELAY_MS);
  await client.close();
  server.close();
  return result;
}

/** Runs one exchange with a server that writes the bytes and then ends its connection. */
async function runExchange(
  bytes: string,
  isLate: boolean,
  end: (socket: Socket) => void,
): Promise<string> {
  const { outcome } = await runExchangeWith((socket) => {
    const endLater = () => timers.scheduleOnce(END_DELAY_MS, () => end(socket));
    socket.write(bytes, isLate ? endLater : () => end(socket));
  });
  return outcome;
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

  // Guards against giving a caller the second copy of another response (reported by operators).
  it('closes the connection after one response, so that a late copy of it is never read', async () => {
    const copy = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc';
    const closed: Promise<void>[] = [];
    const result = await runExchangeWith((socket) => {
      closed.push(
        new Promise((resolve) => {
          socket.on('close', () => resolve());
        }),
      );
      socket.write(copy);
      timers.scheduleOnce(END_DELAY_MS, () => socket.write(copy));
    });
    expect(result).toEqual({ outcome: 'complete', body: 'abc', calls: 1 });
    await Promise.all(closed);
  });

  // Guards against memory that a target fills with bytes that are no response.
  const endless = [
    { name: 'a head', start: 'HTTP/1.1 200 OK\r\nX-Long: ', part: 'x'.repeat(4_096) },
    { name: 'fields', start: 'HTTP/1.1 200 OK\r\n', part: 'A: b\r\n'.repeat(500) },
    { name: 'a status line', start: 'HTTP/1.1 200 ', part: 'O'.repeat(4_096) },
    {
      name: 'interim responses',
      start: '',
      part: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100),
    },
    { name: 'trailers', start: `${CHUNKED}3\r\nabc\r\n0\r\n`, part: 'A: b\r\n'.repeat(500) },
  ];
  for (const { name, start, part } of endless) {
    it(`fails a target that sends ${name} without end`, async () => {
      let sentBytes = 0;
      const result = await runExchangeWith((socket) => {
        socket.write(start);
        const stopWriting = timers.subscribe(1, () => {
          if (!socket.writable || sentBytes > MAX_SENT_BYTES) {
            stopWriting();
            return;
          }
          socket.write(part);
          sentBytes += part.length;
        });
      });
      expect(result.outcome).toEqual('broken');
      expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
    });
  }

  // Guards against an error thrown while a request is sent, before its exchange is known.
  it('reports a request that cannot be written after send has returned', async () => {
    const result = await runExchangeWith(() => undefined, '/a b');
    expect(result.outcome).toEqual(SendFailure.Unsendable);
  });
});

describe('a target whose address is invalid', () => {
  // Guards against an error thrown by `send`: the request and its place at the target stay taken, and
  // its deadline cannot end it.
  it('fails after send has returned, and has not got the request', async () => {
    const client = createTargetClient(WIRE, timers);
    const failures: SendFailure[] = [];
    client.send(
      {
        request: { method: 'POST', path: '/' } as CallerRequest,
        body: Buffer.from('x'),
        target: { id: 't', address: '300.1.1.1:80' } as Target,
        remainingMs: 1_000,
        customer: undefined,
        lastEventId: undefined,
        isUrgent: false,
      },
      {
        handleSent: () => undefined,
        handleHead: () => undefined,
        handleData: () => undefined,
        handleEnd: () => undefined,
        handleError: (failure) => failures.push(failure),
      },
    );
    expect(failures).toEqual([]);
    await timers.waitFor(END_DELAY_MS);
    expect(failures).toEqual([SendFailure.NotSent]);
    await client.close();
  });
});

describe('probe of a listener', () => {
  // Guards against taking a target for crashed that only closed a connection, and the reverse.
  it('tells a process that accepts connections from one that has ended', async () => {
    const client = createTargetClient(WIRE, timers);
    const server = createServer((socket) => socket.end());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await client.probeListener(address)).toEqual(true);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await client.probeListener(address)).toEqual(false);
    await client.close();
  });

  // Guards against an answer in chunks of one byte, each of which takes some hundred bytes while the
  // answer is buffered.
  it('hands over the chunks that were read together as one', async () => {
    const chunks = 100_000;
    let parts = 0;
    const result = await runExchangeWith(
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
        socket.write('1\r\nx\r\n'.repeat(chunks));
        socket.write('0\r\n\r\n');
      },
      '/',
      () => {
        parts++;
      },
    );
    expect(result).toEqual({ outcome: 'complete', body: 'x'.repeat(chunks), calls: 1 });
    expect(parts < chunks / 100).toEqual(true);
  });
});

const IGNORE: ExchangeListener = {
  handleSent: () => undefined,
  handleHead: () => undefined,
  handleData: () => undefined,
  handleEnd: () => undefined,
  handleError: () => undefined,
};

function startSend(client: TargetClient, port: number): TargetExchange {
  const request = {
    request: { method: 'GET', path: '/' } as CallerRequest,
    body: Buffer.alloc(0),
    target: { id: 'i-1', address: `127.0.0.1:${port}` } as Target,
    remainingMs: 1_000,
    customer: undefined,
    lastEventId: undefined,
    isUrgent: false,
  };
  return client.send(request, IGNORE);
}

/** Lets the attempt open its socket; that it ends needs the event loop, which does not run yet. */
async function waitForTick(): Promise<void> {
  for (let count = 0; count < 2; count++) {
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
  }
}

function countDescriptors(): number {
  return readdirSync('/proc/self/fd').length;
}

describe('connections to targets', () => {
  // Guards against descriptors that the store and the engines need.
  it('finds no free connection while as many sends as allowed are in progress', async () => {
    const server = createServer((socket) => socket.on('error', () => undefined));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const client = createTargetClient(WIRE, timers, { maxConnections: 2 });
    const first = startSend(client, port);
    expect(client.hasFreeConnection()).toEqual(true);
    startSend(client, port);
    expect(client.hasFreeConnection()).toEqual(false);
    expect(client.countConnections()).toEqual(2);
    first.cancel();
    expect(client.hasFreeConnection()).toEqual(true);
    await client.close();
    server.close();
  });

  // Guards against connection attempts that hold a descriptor after their send has ended.
  it('gives back the descriptor of a connection attempt as soon as its send is cancelled', async () => {
    const client = createTargetClient(WIRE, timers);
    const before = countDescriptors();
    const exchange = startSend(client, 1);
    await waitForTick();
    expect(countDescriptors()).toEqual(before + 1);
    exchange.cancel();
    expect(countDescriptors()).toEqual(before);
    await client.close();
  });
});
