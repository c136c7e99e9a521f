import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DutyCallResult } from '../core/duties/index.ts';
import { createTimerService } from '../core/timers/index.ts';
import { createDutyClient } from './duty-client.ts';

const HOST = '127.0.0.1';
const HOLDER = { vmName: 'front-1', token: 12 };
const REPORT = { window: 353_445_120, counts: new Map([['hule930', 412]]) };
const ORDER = { service: 'huvo11a', availabilityZone: 'sofia-a', targetCount: 6 };

type Answer = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts a platform, calls it, and closes it again. */
async function callPlatform<Value>(
  answer: Answer,
  call: (client: ReturnType<typeof createDutyClient>) => Promise<Value>,
): Promise<Value> {
  const server = createServer(answer);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createDutyClient({ host: HOST, port }, createTimerService());
  const result = await call(client);
  await client.close();
  server.closeAllConnections();
  server.close();
  return result;
}

describe('client of the duties', () => {
  it('sends a report and an order as the platform expects them', async () => {
    const received: unknown[] = [];
    await callPlatform(
      (request, response) => {
        let body = '';
        request.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        request.on('end', () => {
          const { 'x-duty-holder': holder, 'x-fencing-token': token } = request.headers;
          received.push([request.method, request.url, holder, token, JSON.parse(body)]);
          response.end();
        });
      },
      async (client) => {
        await client.reportUsage(HOLDER, REPORT);
        await client.orderTargetCount(HOLDER, ORDER);
      },
    );
    const scale = { service: 'huvo11a', zone: 'sofia-a', desired_count: 6 };
    expect(received).toEqual([
      ['POST', '/usage', 'front-1', '12', { window: 353_445_120, counts: { hule930: 412 } }],
      ['POST', '/scale', 'front-1', '12', scale],
    ]);
  });

  const { Accepted, OutcomeUnknown, RateLimited, Rejected } = DutyCallResult;
  const statuses: [number, DutyCallResult][] = [
    [200, Accepted],
    [204, Accepted],
    [302, OutcomeUnknown],
    [400, Rejected],
    [408, OutcomeUnknown],
    [409, Rejected],
    [429, RateLimited],
    [500, OutcomeUnknown],
    [503, OutcomeUnknown],
  ];
  for (const [status, expected] of statuses) {
    it(`takes status ${status} as ${expected}`, async () => {
      const answer: Answer = (request, response) => {
        request.resume();
        response.writeHead(status).end();
      };
      const result = await callPlatform(answer, (client) => client.reportUsage(HOLDER, REPORT));
      expect(result).toEqual(expected);
    });
  }

  const broken: { name: string; answer: Answer }[] = [
    { name: 'no answer', answer: (request) => request.resume() },
    { name: 'a closed connection', answer: (request) => request.socket.destroy() },
  ];
  for (const { name, answer } of broken) {
    // Guards against a call that never returns, and against one that counts as done.
    it(`does not know how a call ended after ${name}`, async () => {
      const result = await callPlatform(answer, (client) => client.reportUsage(HOLDER, REPORT));
      expect(result).toEqual(OutcomeUnknown);
    });
  }

  it('reads the status alone of an answer without end', async () => {
    const answer: Answer = (_request, response) => {
      response.writeHead(200);
      const write = (): void => {
        if (!response.destroyed) response.write(Buffer.alloc(64 * 1024), () => write());
      };
      write();
    };
    const result = await callPlatform(answer, (client) => client.reportUsage(HOLDER, REPORT));
    expect(result).toEqual(Accepted);
  });
});
