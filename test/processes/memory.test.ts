import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readResidentMb } from '../../src/demo/resident-memory.ts';
import { NODE_OPTIONS } from '../../src/stand-ins/soak/gateways.ts';
import type { GatewaySession } from './gateway-session.ts';
import { startGatewaySession } from './gateway-session.ts';

/** `memory_mb` of the entry VMs of the small deployments. */
const MEMORY_LIMIT_MB = 350;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const SAMPLE_PERIOD_MS = 20;
/** Time limit of the route, and deadline of the callers. */
const TIMEOUT_MS = 10_000;
/** Time for which the peers stay slow after all have connected. */
const SLOW_MS = 6_000;
const CONNECTIONS_AT_ONCE = 50;

/** Opens a connection of a caller, writes to it and leaves what comes back unread. */
type OpenCaller = (parts: readonly (string | Buffer)[]) => Promise<void>;

interface Case {
  /** Who is slow or talkative. */
  name: string;
  /** Loopback address of the gateway. */
  host: string;
  /** Responds for the target while the trouble lasts. */
  respond: (request: IncomingMessage, response: ServerResponse) => void;
  /** Number of connections of callers. */
  connections: number;
  /** Builds what the caller of a connection sends. */
  buildParts: (index: number) => (string | Buffer)[];
}

function answer(response: ServerResponse, body: string | Buffer): void {
  response.setHeader('X-Response-Signature', 'signed');
  response.end(body);
}

function buildHead(id: string, contentLength: number): string {
  return [
    'POST /orders/1 HTTP/1.1',
    'Host: orders.example',
    'Authorization: Bearer key-1',
    `X-Attempt-Id: ${id}`,
    `X-Deadline-Ms: ${TIMEOUT_MS}`,
    `Content-Length: ${contentLength}`,
    '',
    '',
  ].join('\r\n');
}

const LARGE_BODY = Buffer.alloc(MAX_BODY_BYTES, 'order ');
const HALF_OF_BODY = Buffer.alloc(400_000, 'order ');
const PIPELINED_REQUESTS = 20_000;

const cases: Case[] = [
  {
    name: 'targets that read long requests slowly',
    host: '127.0.0.31',
    respond: (request) => request.pause(),
    connections: 120,
    buildParts: (index) => [buildHead(`a${index}`, LARGE_BODY.length), LARGE_BODY],
  },
  {
    name: 'callers that stop in the middle of their bodies',
    host: '127.0.0.32',
    respond: (_request, response) => answer(response, 'booked'),
    connections: 900,
    buildParts: (index) => [buildHead(`a${index}`, HALF_OF_BODY.length * 2), HALF_OF_BODY],
  },
  {
    name: 'callers that do not read their answers',
    host: '127.0.0.33',
    respond: (_request, response) => answer(response, LARGE_BODY),
    connections: 120,
    buildParts: (index) => [buildHead(`a${index}`, 0)],
  },
  {
    name: 'callers that send many requests at once on one connection',
    host: '127.0.0.34',
    respond: () => undefined,
    connections: 2,
    buildParts: () =>
      Array.from({ length: PIPELINED_REQUESTS }, (_, index) => buildHead(`a${index}`, 0)),
  },
];

function createCallers(session: GatewaySession): { open: OpenCaller; closeAll(): void } {
  const sockets: Socket[] = [];
  return {
    open: (parts) =>
      new Promise((resolve) => {
        const socket = connect(session.callers);
        sockets.push(socket);
        socket.pause();
        socket.on('error', () => undefined);
        socket.on('close', () => resolve());
        socket.on('connect', () => {
          parts.forEach((part) => socket.write(part));
          resolve();
        });
      }),
    closeAll: () => sockets.forEach((socket) => socket.destroy()),
  };
}

describe('memory of a gateway process', () => {
  // Guards against a gateway that is killed, or whose heap overflows, because peers are slow (FAULT).
  for (const { name, host, respond, connections, buildParts } of cases) {
    it(`keeps to the limit of its VM with ${name}`, async () => {
      let isTrouble = true;
      const session = await startGatewaySession({
        host,
        nodeOptions: NODE_OPTIONS,
        maxBodyBytes: MAX_BODY_BYTES,
        timeoutMs: TIMEOUT_MS,
        respond(request, response) {
          if (isTrouble) respond(request, response);
          else answer(response, 'booked');
        },
      });
      const { gateway, timers } = session;
      let end: number | string | undefined;
      void gateway.exited.then((status) => {
        end = status;
      });
      let mostMb = 0;
      const stopSampling = timers.subscribe(SAMPLE_PERIOD_MS, () => {
        mostMb = Math.max(mostMb, readResidentMb(gateway.pid));
      });
      const callers = createCallers(session);
      try {
        for (let first = 0; first < connections; first += CONNECTIONS_AT_ONCE) {
          const count = Math.min(CONNECTIONS_AT_ONCE, connections - first);
          await Promise.all(
            Array.from({ length: count }, (_, index) => callers.open(buildParts(first + index))),
          );
        }
        await timers.waitFor(SLOW_MS);
        expect({ end, isWithinLimit: mostMb <= MEMORY_LIMIT_MB }).toEqual({
          end: undefined,
          isWithinLimit: true,
        });
        callers.closeAll();
        isTrouble = false;
        await session.waitForAnswer('/orders/1');
      } finally {
        callers.closeAll();
        stopSampling();
        await session.stop();
      }
    });
  }
});
