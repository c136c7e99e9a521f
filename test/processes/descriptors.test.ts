import { readdirSync, readFileSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import type { GatewaySession } from './gateway-session.ts';
import { startGatewaySession } from './gateway-session.ts';

interface Address {
  host: string;
  port: number;
}

/** Loopback address that only this gateway uses, so that its ports don't collide with other tests. */
const GATEWAY_HOST = '127.0.0.24';
/** Descriptors of a gateway on rodopi-wax, of which the platform reserves some for files. */
const MAX_DESCRIPTORS = 4_100;
const FILE_DESCRIPTORS = 200;
/** More connections than the gateway has descriptors. */
const CONNECTIONS = 4_500;
const OPEN_AT_ONCE = 150;
const SETTLE_MS = 1_000;
const ANSWER_LIMIT_MS = 4_000;
/** Time in which the test configuration lets callers send a head, and a margin for the check. */
const HEAD_LIMIT_MS = 5_000;

/** Shorter than the time after which a target without an answer counts as silent. */
const WORK_MS = 800;
const BURST = 100;
const BURST_PERIOD_MS = 20;

const CALLER_FIELDS = [
  'Host: orders.example',
  'Authorization: Bearer key-1',
  'X-Attempt-Id: attempt-1',
  'X-Deadline-Ms: 4000',
];

function buildHead(start: string, fields: readonly string[]): string {
  return `${[start, ...fields].join('\r\n')}\r\n\r\n`;
}

const ORDER = buildHead('GET /orders/7 HTTP/1.1', CALLER_FIELDS);
const UNKNOWN_ROUTE = buildHead('GET /stock/ HTTP/1.1', CALLER_FIELDS);
const BODY_FIELDS = [...CALLER_FIELDS, 'Content-Length: 10'];

/** What callers send on the connections that they then leave open. */
const KINDS: readonly { name: string; text: string }[] = [
  { name: 'connections without a request', text: '' },
  { name: 'half a head', text: ORDER.slice(0, -2) },
  { name: 'half a body', text: `${buildHead('POST /orders/new HTTP/1.1', BODY_FIELDS)}two` },
  { name: 'kept-alive connections', text: UNKNOWN_ROUTE },
];

/** Opens connections that send the same text, and leaves them open; ignores those that fail. */
async function openConnections(
  session: GatewaySession,
  address: Address,
  text: string,
  count: number,
): Promise<Socket[]> {
  const sockets: Socket[] = [];
  const openOne = (): Promise<void> =>
    new Promise((resolve) => {
      const socket = connect(address);
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.once('connect', () => {
        if (text === '') resolve();
        else socket.write(text, () => resolve());
      });
      socket.resume();
    });
  for (let opened = 0; opened < count; opened += OPEN_AT_ONCE) {
    const batch = Math.min(OPEN_AT_ONCE, count - opened);
    await Promise.all(Array.from({ length: batch }, openOne));
  }
  await session.timers.waitFor(SETTLE_MS);
  return sockets;
}

async function closeConnections(session: GatewaySession, sockets: Socket[]): Promise<void> {
  sockets.forEach((socket) => socket.destroy());
  await session.timers.waitFor(SETTLE_MS);
}

/** Sends a request on an open connection; resolves with what has arrived when the response ends. */
function exchange(session: GatewaySession, socket: Socket, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const cancelLimit = session.timers.scheduleOnce(ANSWER_LIMIT_MS, () => {
      resolve(`${received}(no end in time)`);
    });
    const end = (): void => {
      cancelLimit();
      resolve(received);
    };
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      const length = /content-length: (\d+)/i.exec(received)?.[1];
      const bodyStart = received.indexOf('\r\n\r\n') + 4;
      if (length !== undefined && received.length >= bodyStart + Number(length)) end();
    });
    socket.on('error', () => undefined);
    socket.on('close', end);
    socket.write(text);
  });
}

/** Sends a request on a new connection, and returns the response. */
async function fetchOnce(session: GatewaySession, address: Address, text: string): Promise<string> {
  const socket = connect(address);
  const response = await exchange(session, socket, text);
  socket.destroy();
  return response;
}

function parseStatus(response: string): string {
  return /^HTTP\/1\.1 (\d+)/.exec(response)?.[1] ?? `none: ${response}`;
}

function countDescriptors({ gateway }: GatewaySession): number {
  return readdirSync(`/proc/${gateway.pid}/fd`).length;
}

function countSuspects({ gateway }: GatewaySession): number {
  return readFileSync(gateway.logFile, 'utf8').split('a target is suspect').length - 1;
}

/** Fetches from all servers of the gateway on new connections, and returns the statuses. */
async function probeServers(session: GatewaySession): Promise<Record<string, string>> {
  const fields = [`Host: ${session.readiness.host}`];
  const resolve = '/resolve?name=orders.example&region=sofia&zone=sofia-a';
  return {
    callers: parseStatus(await fetchOnce(session, session.callers, ORDER)),
    readiness: parseStatus(
      await fetchOnce(session, session.readiness, buildHead('GET /ready HTTP/1.1', fields)),
    ),
    directory: parseStatus(
      await fetchOnce(session, session.directory, buildHead(`GET ${resolve} HTTP/1.1`, fields)),
    ),
  };
}

const ALL_SERVE = { callers: '200', readiness: '200', directory: '200' };

describe('gateway at the limit of its descriptors', () => {
  const context = {} as { session: GatewaySession };

  before(async () => {
    context.session = await startGatewaySession({
      host: GATEWAY_HOST,
      maxDescriptors: MAX_DESCRIPTORS,
      descriptorLimit: MAX_DESCRIPTORS - FILE_DESCRIPTORS,
    });
  });
  after(() => context.session.stop());

  for (const { name, text } of KINDS) {
    it(`serves new callers, is ready and is found while callers hold ${name}`, async () => {
      const { session } = context;
      const sockets = await openConnections(session, session.callers, text, CONNECTIONS);
      const statuses = await probeServers(session);
      const descriptors = countDescriptors(session);
      await closeConnections(session, sockets);
      expect(statuses).toEqual(ALL_SERVE);
      expect(descriptors).toBeLessThan(MAX_DESCRIPTORS - FILE_DESCRIPTORS);
      expect(await session.fetchMetrics()).toEqual(
        expect.includes('connections_limit{kind="callers"}'),
      );
    });
  }

  for (const name of ['readiness', 'directory'] as const) {
    it(`serves callers and checks while ${name} connections stay open`, async () => {
      const { session } = context;
      const sockets = await openConnections(session, session[name], '', CONNECTIONS);
      const statuses = await probeServers(session);
      const descriptors = countDescriptors(session);
      await closeConnections(session, sockets);
      expect(statuses).toEqual(ALL_SERVE);
      expect(descriptors).toBeLessThan(MAX_DESCRIPTORS / 2);
    });
  }

  // Guards against a target that all gateways avoid because one gateway lacks descriptors.
  it('refuses requests that find no descriptor as not run, and suspects no target', async () => {
    const { session } = context;
    session.setWorkMs(WORK_MS);
    const suspectsBefore = countSuspects(session);
    const sockets = await openConnections(session, session.callers, UNKNOWN_ROUTE, 3_700);
    const open = sockets.filter(({ closed }) => !closed).slice(-1_800);
    const responses: Promise<string>[] = [];
    for (let sent = 0; sent < open.length; sent += BURST) {
      const batch = open.slice(sent, sent + BURST);
      responses.push(...batch.map((socket) => exchange(session, socket, ORDER)));
      await session.timers.waitFor(BURST_PERIOD_MS);
    }
    const ended = await Promise.all(responses);
    await closeConnections(session, sockets);
    session.setWorkMs(0);
    const refused = ended.filter((response) => /^HTTP\/1\.1 503 [^]*retry-after/i.test(response));
    const answered = ended.filter((response) => parseStatus(response) === '200');
    const others = ended.filter((one) => !refused.includes(one) && !answered.includes(one));
    expect(others).toEqual([]);
    expect(answered.length).toBeGreaterThan(0);
    expect(refused.length).toBeGreaterThan(0);
    expect(countSuspects(session) - suspectsBefore).toEqual(0);
  });

  // Guards against connections of callers that have vanished without a reset.
  for (const { name, text } of KINDS.slice(0, 2)) {
    it(`closes ${name} after the time limit of the configuration`, async () => {
      const { session } = context;
      const sockets = await openConnections(session, session.callers, text, 20);
      await session.timers.waitFor(HEAD_LIMIT_MS);
      expect(sockets.map(({ closed }) => closed)).toEqual(sockets.map(() => true));
      await closeConnections(session, sockets);
    });
  }
});
