import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createServer as createTcpServer } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers, createTimerService } from '../timers/index.ts';
import { createEngineClient, createServiceClient } from './index.ts';
import type { EngineEndpoint, ServiceCall } from './types.ts';

const ENDPOINT = { vm: 'vm-1', address: '127.0.0.1', group: 'assistant-0', generation: 7 };
const COMPLETION = {
  request: 'r1',
  attempt: 'r1-1',
  priority: 'normal',
  model: 'assistant-llm',
  prompt: 'a quote',
  maxTokens: 8,
  continuation: [],
};
const HEADERS = { 'x-stream-id': 's1', 'x-group': 'assistant-0', 'x-generation': '7' };
const TOKEN = 'id: 0\ndata: {"request":"r1","attempt":"r1-1","offset":0,"text":"hi"}\n\n';
const END = 'event: end\ndata: {"request":"r1","attempt":"r1-1","total":1}\n\n';

type Respond = (request: IncomingMessage, response: ServerResponse) => void;

const servers: { close(): unknown; closeAllConnections?(): void }[] = [];

async function startServer(respond: Respond): Promise<EngineEndpoint> {
  const server: Server = createServer(respond);
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { ...ENDPOINT, port: (server.address() as AddressInfo).port };
}

/** Returns a port of a listener that was just closed, so that connections to it are refused. */
async function findClosedPort(): Promise<number> {
  const server = createTcpServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections?.();
    server.close();
  });
});

/** Reads a stream until its end or failure and returns a log of the handler calls. */
function readStream(endpoint: EngineEndpoint, heartbeatDeadlineMs = 500): Promise<string[]> {
  const client = createEngineClient({ timers: createTimerService(), heartbeatDeadlineMs });
  const log: string[] = [];
  return new Promise((resolve) => {
    client.startStream(endpoint, COMPLETION, {
      handleOpen: ({ streamId }) => log.push(`open ${streamId}`),
      handleToken: ({ offset, text }) => log.push(`token ${offset} ${text}`),
      handleEnd: ({ total }) => resolve([...log, `end ${total}`]),
      handleFailure: ({ kind }) => resolve([...log, kind]),
    });
  });
}

interface StreamCase {
  title: string;
  respond: Respond;
  expected: string[];
}

const streamCases: StreamCase[] = [
  {
    title: 'parses tokens and the end event when chunks split at any byte',
    respond: (_, response) => {
      response.writeHead(200, HEADERS);
      [...`: heartbeat\n\n${TOKEN}${END}`].forEach((character) => response.write(character));
    },
    expected: ['open s1', 'token 0 hi', 'end 1'],
  },
  {
    // Guards against using the response of a member that a delayed order moved to another group.
    title: 'drops a response from another generation',
    respond: (_, response) => {
      response.writeHead(200, { ...HEADERS, 'x-generation': '6' });
      response.end(TOKEN + END);
    },
    expected: ['wrong-generation'],
  },
  {
    title: 'drops a response from another group',
    respond: (_, response) => {
      response.writeHead(200, { ...HEADERS, 'x-group': 'assistant-1' });
      response.end(TOKEN + END);
    },
    expected: ['wrong-generation'],
  },
  {
    // Guards against treating a truncated response as complete.
    title: 'reports a response without an end event as broken',
    respond: (_, response) => {
      response.writeHead(200, HEADERS);
      response.end(TOKEN);
    },
    expected: ['open s1', 'token 0 hi', 'broken'],
  },
  {
    title: 'reports a connection without heartbeats as silent',
    respond: (_, response) => {
      response.writeHead(200, HEADERS);
      response.write(TOKEN);
    },
    expected: ['open s1', 'token 0 hi', 'silent'],
  },
  {
    title: 'reports an unknown stream',
    respond: (_, response) => response.writeHead(404).end(),
    expected: ['stream-unknown'],
  },
  {
    title: 'reports a refusal of the engine',
    respond: (_, response) => response.writeHead(503).end(),
    expected: ['refused'],
  },
];

describe('createEngineClient', () => {
  for (const testCase of streamCases) {
    it(testCase.title, async () => {
      const endpoint = await startServer(testCase.respond);
      expect(await readStream(endpoint)).toEqual(testCase.expected);
    });
  }

  it('reports a refused connection as not connected', async () => {
    const endpoint = { ...ENDPOINT, port: await findClosedPort() };
    expect(await readStream(endpoint)).toEqual(['not-connected']);
  });

  it('sends the ids, group and generation with every request', async () => {
    const seen: string[] = [];
    const endpoint = await startServer((request, response) => {
      const { headers } = request;
      const ids = ['x-request-id', 'x-attempt-id', 'x-group', 'x-generation', 'x-priority'];
      const values = ids.map((name) => String(headers[name] ?? '-'));
      seen.push(`${request.method} ${request.url} ${values.join(' ')}`);
      response.writeHead(200, HEADERS);
      response.end(END);
    });
    const client = createEngineClient({ timers: createTimerService() });
    await readStream(endpoint);
    await new Promise<void>((resolve) => {
      const finish = (): void => resolve();
      client.resumeStream(
        endpoint,
        { request: 'r1', attempt: 'r1-1', streamId: 's1', offset: 3 },
        { handleOpen: finish, handleToken: finish, handleEnd: finish, handleFailure: finish },
      );
    });
    expect(await client.stopStream(endpoint, 's1')).toEqual(true);
    expect(seen).toEqual([
      'POST /v1/completions r1 r1-1 assistant-0 7 normal',
      'GET /v1/streams/s1?offset=3 r1 r1-1 assistant-0 7 -',
      'DELETE /v1/streams/s1 - - assistant-0 7 -',
    ]);
  });

  it('returns false when the engine does not confirm a stop', async () => {
    const endpoint = await startServer((_, response) => response.writeHead(500).end());
    const client = createEngineClient({ timers: createTimerService() });
    expect(await client.stopStream(endpoint, 's1')).toEqual(false);
  });
});

const CALL: ServiceCall = {
  requestId: 'c1',
  method: 'POST',
  path: '/bookings?day=1',
  headers: [{ name: 'Content-Type', value: 'application/json' }],
  body: Buffer.from('{}'),
  timeoutMs: 300,
  idempotent: false,
};

interface CallCase {
  title: string;
  respond?: Respond;
  expected: string;
}

// Guards against reporting a call as not sent although the service received it, and the reverse.
const callCases: CallCase[] = [
  {
    title: 'returns the response',
    respond: (request, response) => {
      response.writeHead(201, { 'x-seen': String(request.headers['x-request-id']) });
      request.pipe(response);
    },
    expected: '201 c1 {}',
  },
  { title: 'reports a refused connection as not sent', expected: 'not-connected, not sent' },
  {
    title: 'reports a connection that broke before the response as sent',
    respond: (request) => request.socket.destroy(),
    expected: 'broken, sent',
  },
  {
    title: 'reports a connection that broke during the response as sent',
    respond: (request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('{', () => request.socket.destroy());
    },
    expected: 'broken, sent',
  },
  {
    title: 'reports bytes without a status of HTTP as a broken connection',
    respond: (_request, response) => response.writeHead(600).end('booked'),
    expected: 'broken, sent',
  },
  {
    title: 'reports a response that does not arrive in time as sent',
    respond: () => undefined,
    expected: 'silent, sent',
  },
];

describe('createServiceClient', () => {
  for (const idempotent of [true, false]) {
    for (const testCase of callCases) {
      const kind = idempotent ? 'an idempotent' : 'a non-idempotent';
      it(`${testCase.title}, for ${kind} call`, async () => {
        const endpoint =
          testCase.respond === undefined
            ? { ...ENDPOINT, port: await findClosedPort() }
            : await startServer(testCase.respond);
        const client = createServiceClient({ timers: createTimerService() });
        const result = await client.sendCall(endpoint, { ...CALL, idempotent });
        await client.close();
        const { response } = result;
        const text =
          response !== undefined
            ? `${response.status} ${response.headers.find(({ name }) => name === 'x-seen')?.value} ${Buffer.from(response.body).toString()}`
            : `${result.failure.kind}, ${result.sent ? 'sent' : 'not sent'}`;
        expect(text).toEqual(testCase.expected);
      });
    }
  }

  it('uses a new connection for each non-idempotent call', async () => {
    const ports = new Set<number | undefined>();
    const endpoint = await startServer((request, response) => {
      ports.add(request.socket.remotePort);
      response.end();
    });
    const client = createServiceClient({ timers: createManualTimers() });
    await client.sendCall(endpoint, CALL);
    await client.sendCall(endpoint, CALL);
    await client.close();
    expect(ports.size).toEqual(2);
  });
});
