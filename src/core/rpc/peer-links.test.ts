import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';
import { createTimerService } from '../timers/index.ts';
import type { PeerHandlers, PeerServer } from './index.ts';
import { createPeerLinks, createPeerServer } from './index.ts';

const ADDRESS = '127.0.0.1';
const SHORT_TIMEOUTS = { pingPeriodMs: 50, pingDeadlineMs: 100, callDeadlineMs: 500 };

const timers = createTimerService();
const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startServer(handlers: PeerHandlers, port = 0): Promise<PeerServer> {
  const server = await createPeerServer({ address: ADDRESS, port, handlers, timers });
  cleanups.push(() => server.close());
  return server;
}

function openLinks(options = SHORT_TIMEOUTS): ReturnType<typeof createPeerLinks> {
  const links = createPeerLinks(options);
  cleanups.push(() => links.close());
  return links;
}

async function getErrorCode(call: Promise<unknown>): Promise<Code | undefined> {
  try {
    await call;
    return undefined;
  } catch (error) {
    return ConnectError.from(error).code;
  }
}

interface TcpProxy {
  port: number;
  /** Stops forwarding bytes on the open connections without closing them. */
  freeze(): void;
}

/** Starts a TCP proxy; connections opened after `freeze` are forwarded again. */
async function startTcpProxy(targetPort: number): Promise<TcpProxy> {
  const connections: [Socket, Socket][] = [];
  const server = createServer((incoming) => {
    const outgoing = connect(targetPort, ADDRESS);
    [incoming, outgoing].forEach((socket) => socket.on('error', () => undefined));
    incoming.pipe(outgoing).pipe(incoming);
    connections.push([incoming, outgoing]);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, ADDRESS, resolve);
  });
  cleanups.push(() => {
    connections.flat().forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as { port: number };
  return {
    port,
    freeze() {
      connections.forEach(([incoming, outgoing]) => {
        incoming.unpipe();
        outgoing.unpipe();
      });
    },
  };
}

describe('createPeerLinks', () => {
  it('returns the response of a unary call', async () => {
    const server = await startServer({ getStatus: () => ({ daemon: 'entry-1' }) });
    const response = await openLinks().getClient(ADDRESS, server.port).getStatus({});
    expect(response.daemon).toEqual('entry-1');
  });

  // Guards against a caller that waits forever for a daemon that hangs.
  it('fails a unary call at its deadline', async () => {
    const server = await startServer({ getStatus: () => timers.waitFor(2_000).then(() => ({})) });
    const call = openLinks().getClient(ADDRESS, server.port).getStatus({});
    expect(await getErrorCode(call)).toEqual(Code.DeadlineExceeded);
  });

  // Guards against connections that stay broken after the other daemon was restarted.
  it('reconnects after a restart of the server', async () => {
    const first = await startServer({ getStatus: () => ({ daemon: 'first' }) });
    const client = openLinks().getClient(ADDRESS, first.port);
    await client.getStatus({});
    await first.close();
    await startServer({ getStatus: () => ({ daemon: 'second' }) }, first.port);
    expect((await client.getStatus({})).daemon).toEqual('second');
  });

  // Guards against a stream that waits forever on a connection that no longer delivers data.
  it('fails a stream on an unresponsive connection and reconnects for the next call', async () => {
    const server = await startServer({
      getStatus: () => ({ daemon: 'entry-1' }),
      async *watchTargets(_request, context) {
        yield {};
        await timers.waitFor(10_000, context.signal);
      },
    });
    const proxy = await startTcpProxy(server.port);
    const client = openLinks().getClient(ADDRESS, proxy.port);
    const stream = client.watchTargets({})[Symbol.asyncIterator]();
    await stream.next();
    const startMs = timers.getMonotonicMs();
    proxy.freeze();
    const code = await getErrorCode(stream.next());
    const elapsedMs = timers.getMonotonicMs() - startMs;
    expect(code === undefined).toEqual(false);
    expect(elapsedMs < 2_000).toEqual(true);
    // The session manager drops the connection one event loop turn after its streams have failed.
    await timers.waitFor(1);
    expect((await client.getStatus({})).daemon).toEqual('entry-1');
  });
});

describe('createPeerServer', () => {
  // Guards against a graceful shutdown that interrupts a call in flight.
  it('finishes unary calls and ends streams on close', async () => {
    let markStarted = (): void => undefined;
    const started = new Promise<void>((resolve) => {
      markStarted = resolve;
    });
    const server = await startServer({
      async getStatus(_request, context) {
        markStarted();
        await timers.waitFor(200, context.signal);
        return { daemon: context.signal.aborted ? 'interrupted' : 'finished' };
      },
      async *watchTargets(_request, context) {
        yield {};
        await timers.waitFor(60_000, context.signal);
      },
    });
    const client = openLinks().getClient(ADDRESS, server.port);
    const stream = client.watchTargets({})[Symbol.asyncIterator]();
    await stream.next();
    const call = client.getStatus({});
    await started;
    const closed = server.close();
    expect((await call).daemon).toEqual('finished');
    await getErrorCode(stream.next());
    await closed;
  });

  it('fails a call without a handler with the code unimplemented', async () => {
    const server = await startServer({});
    const call = openLinks().getClient(ADDRESS, server.port).getStatus({});
    expect(await getErrorCode(call)).toEqual(Code.Unimplemented);
  });
});
