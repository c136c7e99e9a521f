import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NODE_OPTIONS } from '../../src/stand-ins/soak/gateways.ts';
import { startGatewaySession } from './gateway-session.ts';

const HOST = '127.0.0.35';
const CONNECTIONS = 10;
const REQUESTS = 20_000;
const WORK_MS = 200;
/** Time for which the callers send before they leave. */
const SENDING_MS = 4_000;
/** Deadline of the requests of sound callers. */
const DEADLINE_MS = 4_000;
/** Time within which requests of callers that have left no longer reach targets. */
const GONE_MS = 500;
/** Requests that may reach targets later. */
const MAX_GONE_REQUESTS = 3;
const OBSERVATION_MS = 3_000;
const PIPELINED_PATH = '/orders/pipelined';

const REQUEST = [
  `POST ${PIPELINED_PATH} HTTP/1.1`,
  'Host: orders.example',
  'Authorization: Bearer key-1',
  'X-Attempt-Id: attempt-2',
  'X-Deadline-Ms: 8000',
  'Content-Length: 0',
  '',
  '',
].join('\r\n');
const PIPELINE = Buffer.from(REQUEST.repeat(REQUESTS));

function openCaller(address: { host: string; port: number }): Socket {
  const socket = connect(address);
  socket.resume();
  socket.on('error', () => undefined);
  socket.write(PIPELINE);
  return socket;
}

describe('a gateway process with callers that send many requests at once', () => {
  // Guards against callers that wait for those of other connections (answered-in-time), and against
  // requests that reach targets after their callers have left (GONE).
  it('serves other callers in time, and sends no requests of callers that have left', async () => {
    const arrivedMs: number[] = [];
    const session = await startGatewaySession({
      host: HOST,
      nodeOptions: NODE_OPTIONS,
      respond(request, response) {
        if (request.url === PIPELINED_PATH) arrivedMs.push(session.timers.getMonotonicMs());
        session.timers.scheduleOnce(WORK_MS, () => {
          response.setHeader('X-Response-Signature', 'signed');
          response.end('booked');
        });
      },
    });
    const { timers } = session;
    const sockets = Array.from({ length: CONNECTIONS }, () => openCaller(session.callers));
    try {
      const startMs = timers.getMonotonicMs();
      let longestMs = 0;
      const statuses = new Set<number>();
      while (timers.getMonotonicMs() - startMs < SENDING_MS) {
        const sentMs = timers.getMonotonicMs();
        statuses.add((await session.sendRequest('/orders/1')).status);
        longestMs = Math.max(longestMs, timers.getMonotonicMs() - sentMs);
      }
      sockets.forEach((socket) => socket.destroy());
      const goneMs = timers.getMonotonicMs();
      await timers.waitFor(OBSERVATION_MS);
      const late = arrivedMs.filter((ms) => ms > goneMs + GONE_MS).length;
      const isPrompt = late <= MAX_GONE_REQUESTS;
      expect({ statuses: [...statuses], isInTime: longestMs < DEADLINE_MS, isPrompt }).toEqual({
        statuses: [200],
        isInTime: true,
        isPrompt: true,
      });
    } finally {
      sockets.forEach((socket) => socket.destroy());
      await session.stop();
    }
  });
});
