import { createConnection } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../timers/index.ts';
import { sendCompletion, startSetup, stopSetups } from './fixtures/caller.ts';

const MB = 1_024 * 1_024;
/** Bodies of all callers together; as much as a daemon holds of answers. */
const MAX_DAEMON_BODY_BYTES = 64 * MB;
const BODY_BYTES = 7 * MB;
const CALLERS = 24;
const HTTP_OK = 200;
const timers = createTimerService();
const sockets: Socket[] = [];

/** A caller that sends most of a body and then nothing more. */
interface SlowCaller {
  socket: Socket;
  getAnswer(): string;
}

function startSlowCaller(url: string, isChunked: boolean): SlowCaller {
  const { hostname, port } = new URL(url);
  const socket = createConnection(Number(port), hostname);
  sockets.push(socket);
  const framing = isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${BODY_BYTES}`;
  const head = [
    'POST /v1/services/booking/ HTTP/1.1',
    'Host: x',
    'X-Customer: orchard',
    'Content-Type: application/octet-stream',
    framing,
  ].join('\r\n');
  const sentBytes = BODY_BYTES - MB;
  const size = isChunked ? `${BODY_BYTES.toString(16)}\r\n` : '';
  let answer = '';
  socket.on('data', (bytes) => {
    answer += bytes.toString();
  });
  socket.on('error', () => undefined);
  socket.write(`${head}\r\n\r\n${size}`);
  socket.write(Buffer.alloc(sentBytes));
  return { socket, getAnswer: () => answer };
}

async function waitForAnswers(callers: readonly SlowCaller[], wanted: number): Promise<number> {
  const count = (): number => callers.filter(({ getAnswer }) => getAnswer() !== '').length;
  for (let tries = 0; tries < 100 && count() < wanted; tries++) await timers.waitFor(30);
  return count();
}

describe('bodies of callers', () => {
  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await stopSetups();
  });

  for (const isChunked of [false, true]) {
    const kind = isChunked ? 'chunked bodies' : 'bodies with a length';
    // Guards against an entry daemon whose memory grows with the bodies that callers never finish.
    it(`are refused beyond the budget while callers hold ${kind}, and fit again later`, async () => {
      const { first } = await startSetup();
      const most = Math.floor(MAX_DAEMON_BODY_BYTES / (BODY_BYTES - MB));
      for (let round = 0; round < 2; round++) {
        const callers = Array.from({ length: CALLERS }, () =>
          startSlowCaller(first.url, isChunked),
        );
        const refused = await waitForAnswers(callers, CALLERS - most);
        expect(refused >= CALLERS - most).toEqual(true);
        expect(refused < CALLERS).toEqual(true);
        const answers = callers.map(({ getAnswer }) => getAnswer()).filter((text) => text !== '');
        for (const answer of answers) {
          expect(answer).toEqual(expect.includes('503 Service Unavailable'));
          expect(answer.toLowerCase()).toEqual(expect.includes('retry-after: 1'));
        }
        const small = await sendCompletion(first, { max_tokens: 2 });
        await small.body.dump();
        expect(small.statusCode).toEqual(HTTP_OK);
        callers.forEach(({ socket }) => socket.destroy());
        await timers.waitFor(100);
      }
    });
  }
});
