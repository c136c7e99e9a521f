import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EndlessPart, startEndlessServer } from '../http/fixtures/endless-server.ts';
import { createTimerService } from '../timers/index.ts';
import { createHttpSender, HttpResultKind } from './http.ts';

const HOST = '127.0.0.1';
/** A message between daemons, and 10 MB that the system buffers. */
const MAX_SENT_BYTES = 42 * 1024 * 1024;
const TIMEOUT_MS = 2_000;

describe('calls to the platform', () => {
  for (const part of [EndlessPart.Body, EndlessPart.Chunks]) {
    // Guards against an answer that fills the memory of a daemon until the call times out.
    it(`give up an answer with an endless ${part}`, async () => {
      const server = await startEndlessServer(part);
      const sender = createHttpSender(HOST, server.port, createTimerService());
      const result = await sender.send({ method: 'GET', path: '/vms', timeoutMs: TIMEOUT_MS });
      await sender.close();
      server.close();
      expect(result.kind).toEqual(HttpResultKind.Lost);
      if (part === EndlessPart.Body) {
        expect('problem' in result && result.problem).toEqual(expect.includes('the limit of'));
      }
      expect(server.countSentBytes() < MAX_SENT_BYTES).toEqual(true);
    });
  }
});
