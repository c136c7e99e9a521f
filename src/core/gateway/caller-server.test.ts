import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter } from '../errors/index.ts';
import type { CallerRequest, WireFormat } from '../forwarding/index.ts';
import { FailureReason } from '../forwarding/index.ts';
import { createTimerService } from '../timers/index.ts';
import { waitUntil } from '../../demo/wait-until.ts';
import type { MemoryBudget } from '../memory/index.ts';
import { createMemoryBudget } from '../memory/index.ts';
import type { CallerServer } from './caller-server.ts';
import { startCallerServer } from './caller-server.ts';
import { MAX_PIPELINED_REQUESTS } from './pipeline-limit.ts';
import type { RequestHandler } from './request-handler.ts';

const HOST = '127.0.0.1';
const STOP_LIMIT_MS = 2_000;
const ANSWER_MS = 100;
const WAIT_LIMIT_MS = 10_000;
const MAX_SENT_BYTES = 32 * 1024 * 1024;
/** Time for which callers may leave their answers unread. */
const UNREAD_LIMIT_MS = 400;
/** Time for which a slow caller reads between its pauses. */
const READ_MS = 10;
const BUDGET_BYTES = 1024 * 1024;
const PART_BYTES = 100_000;
const PIPELINED_REQUESTS = 20_000;
const NO_BODY = Buffer.alloc(0);
const STATUS_BY_REASON = {
  [FailureReason.TooLarge]: 413,
  [FailureReason.MemoryFull]: 503,
  [FailureReason.BodyTimeout]: 408,
  [FailureReason.TooManyPipelined]: 503,
} as const;
const timers = createTimerService();
/** Servers of the running test. */
const servers: CallerServer[] = [];

const WIRE: Pick<WireFormat, 'parseRequest'> = {
  parseRequest(method, path, rawHeaders) {
    const deadline = rawHeaders[rawHeaders.indexOf('X-Deadline') + 1];
    const deadlineMs = rawHeaders.includes('X-Deadline') ? Number(deadline) : undefined;
    return { method, path, deadlineMs } as CallerRequest;
  },
};

/** A caller on one connection, which collects what it receives. */
interface RawCaller {
  socket: Socket;
  getReceived(): string;
  waitForEnd(): Promise<void>;
}

interface Session {
  server: CallerServer;
  budget: MemoryBudget;
  countErrors(): number;
  /** Lists the paths of the requests that the handler has received, oldest first. */
  listPaths(): readonly string[];
  openCaller(): RawCaller;
}

/** More than the buffers of the operating system take on loopback. */
const LARGE_BODY = Buffer.alloc(16 * 1024 * 1024, 'x');

/**
 * Starts a server whose handler answers with 200 after a while, at once with a large body for the path
 * `/large` or with the body of the request for `/echo`, or throws for the path `/broken`. It refuses
 * requests for the path `/refused` before their body is read.
 */
async function startSession(isLeaving = true, answerMs = ANSWER_MS): Promise<Session> {
  let errors = 0;
  const paths: string[] = [];
  const errorReporter = createErrorReporter(() => undefined);
  errorReporter.subscribe(() => {
    errors++;
  });
  const handler: RequestHandler = {
    refuseUnread(request, sink) {
      if (request.path === '/throw') throw new Error('broken');
      if (request.path !== '/refused') return false;
      sink.sendResponse(503, [], NO_BODY);
      return true;
    },
    refuse: (_request, sink, reason) => sink.sendResponse(STATUS_BY_REASON[reason], [], NO_BODY),
    handleRequest(request, body, _account, sink) {
      paths.push(request.path);
      if (request.path === '/broken') throw new Error('broken');
      if (request.path === '/echo') sink.sendResponse(200, [], body);
      else if (request.path === '/large') sink.sendResponse(200, [], LARGE_BODY);
      else timers.scheduleOnce(answerMs, () => sink.sendResponse(200, [], Buffer.from('whole')));
      return undefined;
    },
    countInProgress: () => 0,
    hasReceivedRequests: () => true,
  };
  const budget = createMemoryBudget(BUDGET_BYTES);
  const options = { host: HOST, port: 0, wire: WIRE, handler, budget, errorReporter, timers };
  const server = await startCallerServer({
    ...options,
    unreadLimitMs: UNREAD_LIMIT_MS,
    isLeaving: () => isLeaving,
  });
  servers.push(server);
  return {
    server,
    budget,
    countErrors: () => errors,
    listPaths: () => paths,
    openCaller() {
      const socket = connect({ host: HOST, port: server.port });
      let received = '';
      socket.on('data', (bytes) => {
        received += bytes.toString('latin1');
      });
      socket.on('error', () => undefined);
      const closed = new Promise<void>((resolve) => {
        socket.on('close', () => resolve());
      });
      return { socket, getReceived: () => received, waitForEnd: () => closed };
    },
  };
}

/** Writes the same bytes until the server closes the connection; returns how many were taken. */
async function writeWithoutEnd(caller: RawCaller, part: Buffer): Promise<number> {
  let isClosed = false;
  void caller.waitForEnd().then(() => {
    isClosed = true;
  });
  while (!isClosed && caller.socket.bytesWritten < MAX_SENT_BYTES) {
    caller.socket.write(part);
    await timers.waitFor(1);
  }
  return caller.socket.bytesWritten;
}

describe('server for callers', () => {
  // A test that fails before it closes its server would otherwise keep the file from ending.
  afterEach(async () => {
    await Promise.all(servers.splice(0).map((server) => server.close(0)));
  });

  // Guards against cutting requests that were accepted just before a planned stop.
  const beginnings = [
    { name: 'half of the head', sent: 'GET /x HTTP/1.1\r\nHost: a', rest: '\r\n\r\n' },
    {
      name: 'the head and half of the body',
      sent: 'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab',
      rest: 'cd',
    },
    { name: 'the whole request', sent: 'GET /x HTTP/1.1\r\nHost: a\r\n\r\n', rest: '' },
  ];
  for (const { name, sent, rest } of beginnings) {
    it(`answers a caller that has sent ${name} when the server closes`, async () => {
      const { server, openCaller } = await startSession();
      const caller = openCaller();
      caller.socket.write(sent);
      await timers.waitFor(ANSWER_MS / 2);
      const closed = server.close(STOP_LIMIT_MS);
      if (rest !== '') caller.socket.write(rest);
      await Promise.all([caller.waitForEnd(), closed]);
      expect(caller.getReceived().startsWith('HTTP/1.1 200')).toEqual(true);
      expect(caller.getReceived().endsWith('whole')).toEqual(true);
    });
  }

  // Guards against a planned stop that cuts an answer while its caller is still reading it (LOST).
  it('sends a large answer whole to a caller that reads it after the server has begun to close', async () => {
    const { server, openCaller } = await startSession();
    const caller = openCaller();
    caller.socket.pause();
    caller.socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    await timers.waitFor(ANSWER_MS);
    const closed = server.close(STOP_LIMIT_MS);
    await timers.waitFor(ANSWER_MS);
    caller.socket.resume();
    await Promise.all([caller.waitForEnd(), closed]);
    const [, body = ''] = caller.getReceived().split('\r\n\r\n');
    expect(body.length).toEqual(LARGE_BODY.length);
  });

  it('closes the connection of a caller that does not read its answer when the limit passes', async () => {
    const { server, openCaller } = await startSession();
    const caller = openCaller();
    caller.socket.pause();
    caller.socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    await timers.waitFor(ANSWER_MS);
    expect(server.countUnsentResponses()).toEqual(1);
    await server.close(ANSWER_MS);
    expect(server.countUnsentResponses()).toEqual(0);
    caller.socket.destroy();
  });

  it('closes connections that send nothing more when the limit passes', async () => {
    const { server, openCaller } = await startSession();
    const caller = openCaller();
    caller.socket.write('GET /x HTTP/1.1\r\nHost: a');
    await timers.waitFor(ANSWER_MS);
    await Promise.all([server.close(ANSWER_MS), caller.waitForEnd()]);
    expect(caller.getReceived()).toEqual('');
  });

  // Guards against memory that a caller fills with a head or a body that does not end.
  const endless = [
    { name: 'head', start: 'GET /x HTTP/1.1\r\nX-Long: ', part: Buffer.alloc(4_096, 'x') },
    {
      name: 'list of fields',
      start: 'GET /x HTTP/1.1\r\n',
      part: Buffer.from('A: b\r\n'.repeat(500)),
    },
    {
      name: 'chunked body',
      start: 'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
      part: Buffer.from(`10000\r\n${'x'.repeat(0x10000)}\r\n`),
    },
  ];
  for (const { name, start, part } of endless) {
    it(`ends the connection of a caller that sends a ${name} without end`, async () => {
      const { server, openCaller } = await startSession();
      const caller = openCaller();
      caller.socket.write(start);
      const sentBytes = await writeWithoutEnd(caller, part);
      expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
      await server.close(STOP_LIMIT_MS);
    });
  }

  // Guards against one unexpected error that ends the process, and against a caller left waiting.
  it('answers a request whose handling failed unexpectedly, and serves the next', async () => {
    const { server, openCaller, countErrors } = await startSession();
    const broken = openCaller();
    broken.socket.write('GET /broken HTTP/1.1\r\nHost: a\r\n\r\n');
    await broken.waitForEnd();
    expect(broken.getReceived().startsWith('HTTP/1.1 502')).toEqual(true);
    const sound = openCaller();
    sound.socket.write('GET /x HTTP/1.1\r\nHost: a\r\n\r\n');
    await sound.waitForEnd();
    expect(sound.getReceived().startsWith('HTTP/1.1 200')).toEqual(true);
    expect(countErrors()).toEqual(1);
    await server.close(STOP_LIMIT_MS);
  });

  // Guards against bodies that a gateway holds beyond its memory (FAULT).
  const bodies = [
    {
      name: 'refuses a body for which there is no memory before it arrives',
      start: 'Content-Length: 900000\r\n\r\nab',
      rest: '',
      status: 503,
    },
    {
      name: 'refuses a chunked body that outgrows the memory',
      start: 'Transfer-Encoding: chunked\r\n\r\n',
      rest: `180000\r\n${'x'.repeat(0x180000)}\r\n`,
      status: 503,
    },
    {
      name: 'refuses a body that is declared larger than the limit',
      start: 'Content-Length: 90000000\r\n\r\nab',
      rest: '',
      status: 413,
    },
    {
      name: 'refuses a body that does not arrive before the deadline of its caller',
      start: 'X-Deadline: 200\r\nContent-Length: 4\r\n\r\nab',
      rest: '',
      status: 408,
    },
    {
      name: 'reads a body with a length',
      start: 'Content-Length: 4\r\n\r\nab',
      rest: 'cd',
      status: 200,
    },
    {
      name: 'reads a chunked body',
      start: 'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
      rest: '2\r\ncd\r\n0\r\n\r\n',
      status: 200,
    },
    {
      name: 'reads a body whose type is not valid',
      start: 'Content-Type: ;;\r\nContent-Length: 4\r\n\r\nab',
      rest: 'cd',
      status: 200,
    },
  ];
  for (const { name, start, rest, status } of bodies) {
    it(name, async () => {
      const { server, budget, openCaller } = await startSession(false);
      const caller = openCaller();
      caller.socket.write(`POST /echo HTTP/1.1\r\nHost: a\r\n${start}`);
      await timers.waitFor(ANSWER_MS);
      if (rest !== '') caller.socket.write(rest);
      await timers.waitFor(ANSWER_MS * 2);
      expect(caller.getReceived().slice(9, 12)).toEqual(String(status));
      if (status === 200) expect(caller.getReceived().endsWith('abcd')).toEqual(true);
      caller.socket.destroy();
      await server.close(STOP_LIMIT_MS);
      expect(budget.getHeldBytes()).toEqual(0);
    });
  }

  // Guards against a stop that resets connections, so that callers that write first lose its answer.
  const largeRequests = [
    { name: 'a refusal', path: '/refused', bytes: 4_000_000, status: 503 },
    { name: 'a refusal for want of memory', path: '/echo', bytes: 4_000_000, status: 503 },
    {
      name: 'the answer to a body that is too large',
      path: '/echo',
      bytes: 8_500_000,
      status: 413,
    },
    { name: 'the answer to a failure', path: '/throw', bytes: 4_000_000, status: 502 },
  ];
  for (const { name, path, bytes, status } of largeRequests) {
    it(`lets a caller that writes its whole request first read ${name} during a stop`, async () => {
      const { server, budget, openCaller } = await startSession();
      const caller = openCaller();
      caller.socket.pause();
      caller.socket.write(`POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`);
      await timers.waitFor(ANSWER_MS);
      for (let sent = 0; sent < bytes; sent += PART_BYTES) {
        caller.socket.write(Buffer.alloc(Math.min(PART_BYTES, bytes - sent), 'x'));
        await timers.waitFor(1);
      }
      await timers.waitFor(ANSWER_MS);
      caller.socket.resume();
      await caller.waitForEnd();
      expect(caller.getReceived().slice(9, 12)).toEqual(String(status));
      expect(caller.getReceived()).toEqual(expect.includes('Connection: close'));
      await server.close(STOP_LIMIT_MS);
      expect(budget.getHeldBytes()).toEqual(0);
    });
  }

  it('holds no memory for a body that it refuses, and waits for it for a limited time', async () => {
    const { server, budget, openCaller } = await startSession();
    const caller = openCaller();
    caller.socket.write('POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nab');
    const trickle = async (): Promise<void> => {
      while (!caller.socket.destroyed) {
        caller.socket.write('x');
        await timers.waitFor(ANSWER_MS);
      }
    };
    await timers.waitFor(ANSWER_MS);
    expect(caller.getReceived().startsWith('HTTP/1.1 503')).toEqual(true);
    expect(budget.getHeldBytes()).toEqual(0);
    await Promise.all([trickle(), server.close(WAIT_LIMIT_MS)]);
  });

  // Guards against memory that a caller takes for good by not reading its answer (FAULT).
  it('closes the connection of a caller that does not read its answer for a time', async () => {
    const { server, budget, openCaller } = await startSession(false);
    const caller = openCaller();
    caller.socket.pause();
    caller.socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitUntil('an unread answer', timers, WAIT_LIMIT_MS, () =>
      Promise.resolve(budget.getHeldBytes() > BUDGET_BYTES ? true : undefined),
    );
    await waitUntil('the end of the connection', timers, WAIT_LIMIT_MS, () =>
      Promise.resolve(server.countUnsentResponses() === 0 ? true : undefined),
    );
    expect(budget.getHeldBytes()).toEqual(0);
    caller.socket.destroy();
    await server.close(STOP_LIMIT_MS);
  });

  it('does not close the connection of a caller that reads its answer slowly', async () => {
    const { server, openCaller } = await startSession(false);
    const caller = openCaller();
    caller.socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    const getBodyBytes = (): number =>
      caller.getReceived().length - caller.getReceived().indexOf('\r\n\r\n') - 4;
    let isOpen = true;
    void caller.waitForEnd().then(() => {
      isOpen = false;
    });
    while (isOpen && getBodyBytes() < LARGE_BODY.length) {
      caller.socket.pause();
      await timers.waitFor(UNREAD_LIMIT_MS / 4);
      caller.socket.resume();
      await timers.waitFor(READ_MS);
    }
    expect(getBodyBytes()).toEqual(LARGE_BODY.length);
    caller.socket.destroy();
    await server.close(STOP_LIMIT_MS);
  });

  it('keeps a connection whose next request takes longer than an answer may stay unread', async () => {
    const { server, openCaller } = await startSession(false, UNREAD_LIMIT_MS * 3);
    const caller = openCaller();
    const request = 'GET /x HTTP/1.1\r\nHost: a\r\n\r\n';
    caller.socket.write(`GET /echo HTTP/1.1\r\nHost: a\r\n\r\n${request}`);
    await timers.waitFor(UNREAD_LIMIT_MS * 5);
    expect(caller.getReceived().split('HTTP/1.1 200').length).toEqual(3);
    caller.socket.destroy();
    await server.close(STOP_LIMIT_MS);
  });

  // Guards against requests that stay in progress for good when their caller goes (FAULT).
  it('gives up pipelined requests when their connection closes', async () => {
    const { server, budget, openCaller } = await startSession(false, ANSWER_MS * 5);
    const caller = openCaller();
    caller.socket.write('GET /x HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(10));
    // A busy machine reads the requests late.
    await waitUntil('all requests are in progress', timers, WAIT_LIMIT_MS, () =>
      Promise.resolve(server.countUnsentResponses() === 10 || undefined),
    );
    caller.socket.destroy();
    await timers.waitFor(ANSWER_MS);
    expect(server.countUnsentResponses()).toEqual(0);
    expect(budget.getHeldBytes()).toEqual(0);
    await server.close(STOP_LIMIT_MS);
  });

  // Guards against a caller that occupies the gateway with requests on one connection (answered-in-time).
  it('handles a limited number of pipelined requests at once, and other callers before them', async () => {
    const { server, openCaller, listPaths } = await startSession(false, ANSWER_MS * 3);
    const caller = openCaller();
    caller.socket.write('GET /x HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(PIPELINED_REQUESTS));
    const other = openCaller();
    other.socket.write('GET /other HTTP/1.1\r\nHost: a\r\n\r\n');
    await caller.waitForEnd();
    expect(caller.getReceived().split('HTTP/1.1 200').length - 1).toEqual(MAX_PIPELINED_REQUESTS);
    expect(caller.getReceived().split('HTTP/1.1 503').length - 1).toEqual(1);
    expect(listPaths().length).toEqual(MAX_PIPELINED_REQUESTS + 1);
    expect(listPaths().indexOf('/other') < MAX_PIPELINED_REQUESTS).toEqual(true);
    other.socket.destroy();
    await server.close(STOP_LIMIT_MS);
  });

  // Guards against requests that are handled after their caller has left (GONE).
  it('handles no pipelined request of a caller that has left, and notices at once that it has', async () => {
    const { server, budget, openCaller, listPaths } = await startSession(false, ANSWER_MS * 20);
    const caller = openCaller();
    caller.socket.write('GET /x HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(PIPELINED_REQUESTS));
    await timers.waitFor(ANSWER_MS * 2);
    caller.socket.destroy();
    await timers.waitFor(ANSWER_MS * 2);
    expect(server.countUnsentResponses()).toEqual(0);
    expect(budget.getHeldBytes()).toEqual(0);
    expect(listPaths().length).toEqual(MAX_PIPELINED_REQUESTS);
    await server.close(STOP_LIMIT_MS);
  });

  // Guards against a request that reaches its target without its body (UNASKED).
  it('reads the body of a GET request', async () => {
    const { server, openCaller } = await startSession();
    const caller = openCaller();
    caller.socket.write('GET /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd');
    await caller.waitForEnd();
    expect(caller.getReceived().endsWith('abcd')).toEqual(true);
    await server.close(STOP_LIMIT_MS);
  });

  it('refuses no body any more once callers have gone', async () => {
    const { server, openCaller } = await startSession(false);
    const holder = openCaller();
    holder.socket.write('POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 700000\r\n\r\nab');
    await timers.waitFor(ANSWER_MS);
    const request = `POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n${'x'.repeat(100_000)}`;
    const refused = openCaller();
    refused.socket.write(request);
    await timers.waitFor(ANSWER_MS);
    expect(refused.getReceived().startsWith('HTTP/1.1 503')).toEqual(true);
    holder.socket.destroy();
    await timers.waitFor(ANSWER_MS);
    // The connection of the refused request stays usable.
    refused.socket.write(request);
    await timers.waitFor(ANSWER_MS);
    expect(refused.getReceived().split('HTTP/1.1 200').length).toEqual(2);
    refused.socket.destroy();
    await server.close(STOP_LIMIT_MS);
  });

  it('applies the limits of a configuration', async () => {
    const { server, openCaller } = await startSession();
    server.setLimits({
      maxBodyBytes: 100,
      maxHeaderBytes: 100,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 200,
    });
    const caller = openCaller();
    caller.socket.write(`GET /x HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(200)}\r\n\r\n`);
    await caller.waitForEnd();
    expect(caller.getReceived().startsWith('HTTP/1.1 431')).toEqual(true);
    await server.close(STOP_LIMIT_MS);
  });
});
