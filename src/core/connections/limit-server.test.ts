import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { waitUntil } from '../../demo/wait-until.ts';
import { createManualTimers, createTimerService } from '../timers/index.ts';
import { limitServer } from './limit-server.ts';

const HOST = '127.0.0.1';
const LIMIT = 20;
/** Longer than the time for which a connection keeps its place in any case. */
const OLD_MS = 1_000;
/** Time limit for what must happen, on a busy machine too. */
const WAIT_LIMIT_MS = 10_000;
const realTimers = createTimerService();

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const HALF_HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n';
const HALF_BODY = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf';

interface Session {
  advance(ms: number): Promise<void>;
  /** Waits until a condition holds. */
  waitUntil(name: string, isTrue: () => boolean): Promise<void>;
  /** Opens connections that send a text; it has arrived when the promise resolves. */
  open(count: number, text: string): Promise<Socket[]>;
  count(): number;
  getClosed(): number;
  getDropped(): number;
  /** Answers the requests that wait for an answer. */
  answerAll(): Promise<void>;
  stop(): Promise<void>;
}

/** Starts a limited server, which answers when the test says so. */
async function startSession(): Promise<Session> {
  const timers = createManualTimers();
  const answers: ServerResponse[] = [];
  const server = createServer((_request, response) => answers.push(response));
  const waitFor = async (name: string, isTrue: () => boolean): Promise<void> => {
    await waitUntil(name, realTimers, WAIT_LIMIT_MS, () =>
      Promise.resolve(isTrue() ? true : undefined),
    );
  };
  const accepted: Socket[] = [];
  server.on('connection', (socket: Socket) => accepted.push(socket));
  let closed = 0;
  let dropped = 0;
  let opened = 0;
  const count = limitServer(server, {
    maxConnections: LIMIT,
    timers,
    handleClosed: () => {
      closed++;
    },
    handleDropped: () => {
      dropped++;
    },
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    advance: (ms) => timers.runForAsync(ms),
    waitUntil: waitFor,
    async open(number, text) {
      const sockets = Array.from({ length: number }, () => connect(port, HOST));
      sockets.forEach((socket) => {
        socket.on('error', () => undefined);
        socket.resume();
        if (text !== '') socket.write(text);
      });
      opened += number;
      await waitFor('connections', () => accepted.length + dropped === opened);
      const latest = accepted.slice(-number);
      await waitFor('their bytes', () =>
        latest.every(({ destroyed, bytesRead }) => destroyed || bytesRead >= text.length),
      );
      return sockets;
    },
    count,
    getClosed: () => closed,
    getDropped: () => dropped,
    async answerAll() {
      const responses = answers.splice(0);
      responses.forEach((response) => response.end('whole'));
      await waitFor('the end of the responses', () => responses.every(({ closed: is }) => is));
    },
    async stop() {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
}

function countClosed(sockets: readonly Socket[]): number {
  return sockets.filter(({ closed }) => closed).length;
}

describe('limit of the connections of a server', () => {
  const kinds = [
    { name: 'no request', text: '' },
    { name: 'half a head', text: HALF_HEAD },
    { name: 'half a body', text: HALF_BODY },
  ];
  for (const { name, text } of kinds) {
    // Guards against a server that nobody reaches because others hold all its connections.
    it(`closes the oldest connections with ${name} to make room for new ones`, async () => {
      const session = await startSession();
      const [oldest] = await session.open(1, text);
      await session.advance(OLD_MS);
      const others = await session.open(LIMIT - 2, text);
      await session.advance(OLD_MS);
      const [latest] = await session.open(1, REQUEST);
      await session.waitUntil('room', () => oldest?.closed === true);
      await session.answerAll();
      expect(latest?.closed).toEqual(false);
      expect(countClosed(others)).toBeLessThanOrEqual(1);
      expect(session.getDropped()).toEqual(0);
      await session.stop();
    });
  }

  it('closes idle connections before those that send a request', async () => {
    const session = await startSession();
    const [sending] = await session.open(1, HALF_BODY);
    await session.advance(OLD_MS);
    await session.open(LIMIT - 2, '');
    await session.advance(OLD_MS);
    await session.open(2, '');
    await session.waitUntil('room', () => session.getClosed() > 0);
    expect(sending?.closed).toEqual(false);
    await session.stop();
  });

  // Guards against requests that are lost because their connection was closed under them.
  it('never closes a connection whose request is to be answered, and drops new ones', async () => {
    const session = await startSession();
    const busy = await session.open(LIMIT, REQUEST);
    await session.advance(OLD_MS);
    const [dropped] = await session.open(1, REQUEST);
    await session.waitUntil('the drop', () => dropped?.closed === true);
    expect(countClosed(busy)).toEqual(0);
    expect(session.getDropped()).toEqual(1);
    expect(session.getClosed()).toEqual(0);
    await session.stop();
  });

  // Guards against a full server whose new connections are dropped before they can make room.
  it('makes room again when connections have become old while it was full', async () => {
    const session = await startSession();
    await session.open(LIMIT + 3, '');
    expect(session.getDropped()).toBeGreaterThan(0);
    await session.advance(OLD_MS);
    const [latest] = await session.open(1, REQUEST);
    await session.answerAll();
    expect(latest?.closed).toEqual(false);
    await session.stop();
  });

  it('counts a connection as idle again once its response is complete', async () => {
    const session = await startSession();
    const answered = await session.open(LIMIT - 1, REQUEST);
    await session.answerAll();
    await session.advance(OLD_MS);
    await session.open(2, '');
    await session.waitUntil('room', () => countClosed(answered) > 0);
    expect(session.getDropped()).toEqual(0);
    expect(session.count()).toBeLessThanOrEqual(LIMIT);
    await session.stop();
  });
});
