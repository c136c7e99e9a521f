import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { waitForEvent } from './fixtures/create-test-daemons.ts';
import type { TestDaemon } from './fixtures/create-test-daemons.ts';
import {
  buildAnswer,
  CUSTOMER_HEADERS,
  JSON_HEADERS,
  parseEvents,
  sendBooking,
  sendCompletion,
  startSetup,
  stopSetups,
} from './fixtures/caller.ts';

afterEach(stopSetups);

interface InvalidCase {
  title: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  expected: [number, string];
}

const COMPLETIONS = '/v1/completions';

const invalidCases: InvalidCase[] = [
  {
    title: 'a request without a customer',
    path: COMPLETIONS,
    headers: { 'x-customer': '' },
    body: '{}',
    expected: [400, 'request-invalid'],
  },
  {
    title: 'a body without a prompt',
    path: COMPLETIONS,
    body: '{"model":"m"}',
    expected: [400, 'request-invalid'],
  },
  {
    title: 'a body that is not valid JSON',
    path: COMPLETIONS,
    body: '{',
    expected: [400, 'request-invalid'],
  },
  {
    title: 'a malformed resume token',
    path: COMPLETIONS,
    headers: { 'last-event-id': 'x' },
    body: '{"model":"m","prompt":"p"}',
    expected: [400, 'resume-token-invalid'],
  },
  {
    title: 'a non-idempotent call without an id',
    path: '/v1/services/order-app/bookings',
    headers: { 'x-idempotent': 'false' },
    body: '{}',
    expected: [400, 'request-id-not-issued'],
  },
  {
    title: 'a non-idempotent call with an id chosen by the caller',
    path: '/v1/services/order-app/bookings',
    headers: { 'x-idempotent': 'false', 'x-request-id': 'order-17' },
    body: '{}',
    expected: [400, 'request-id-not-issued'],
  },
  { title: 'an unknown path', path: '/v2', body: '{}', expected: [404, 'request-invalid'] },
];

describe('invalid requests', () => {
  for (const { title, path, headers, body, expected } of invalidCases) {
    it(`rejects ${title}`, async () => {
      const { first } = await startSetup();
      const response = await request(`${first.url}${path}`, {
        method: 'POST',
        headers: { ...JSON_HEADERS, ...headers },
        body: body ?? null,
      });
      const { error } = (await response.body.json()) as { error: { kind: string } };
      expect([response.statusCode, error.kind]).toEqual(expected);
      expect(response.headers['x-outcome']).toEqual('not-run');
    });
  }
});

async function lookUp({ url }: TestDaemon, id: string): Promise<string> {
  const response = await request(`${url}/v1/requests/${id}`, { headers: CUSTOMER_HEADERS });
  const body = (await response.body.json()) as { outcome: string; bodyBase64?: string };
  const text = Buffer.from(body.bodyBase64 ?? '', 'base64').toString();
  return `${response.statusCode} ${response.headers['x-outcome']} ${body.outcome} ${text}`.trim();
}

describe('/v1/services', () => {
  it('forwards an idempotent call with its query string', async () => {
    const { first } = await startSetup();
    const url = `${first.url}/v1/services/order-app/stock/seedlings?day=1`;
    const response = await request(url, { headers: CUSTOMER_HEADERS });
    expect(await response.body.json()).toEqual({ item: 'seedlings', quantity: 1_200 });
    expect([response.statusCode, response.headers['x-outcome']]).toEqual([200, 'done']);
    expect(response.headers['x-load']).toEqual(undefined);
  });

  it('runs a non-idempotent call once, through any daemon', async () => {
    const { first, second, service } = await startSetup();
    const id = `${first.createPrefix()}1`;
    const responses = await Promise.all([sendBooking(first, id), sendBooking(second, id)]);
    const bodies = await Promise.all(responses.map(({ body }) => body.json()));
    expect(bodies).toEqual([
      { requestId: id, runs: 1 },
      { requestId: id, runs: 1 },
    ]);
    expect(responses.map(({ statusCode }) => statusCode)).toEqual([201, 201]);
    expect(await lookUp(second, id)).toEqual(`200 done done {"requestId":"${id}","runs":1}`);
    expect(service.bookings.listBookings()).toHaveLength(1);
  });

  it('closes an id that is looked up before its call arrives', async () => {
    const { first, second, service } = await startSetup();
    const id = `${first.createPrefix()}1`;
    expect(await lookUp(second, id)).toEqual('200 not-run not-run');
    const response = await sendBooking(first, id);
    await response.body.dump();
    const { headers } = response;
    expect([response.statusCode, headers['x-outcome'], headers['retry-after']]).toEqual([
      503,
      'not-run',
      '1',
    ]);
    expect(service.bookings.listBookings()).toHaveLength(0);
  });

  it('reports unknown when the response of the service is lost', async () => {
    const { first, service } = await startSetup();
    service.targets.forEach(({ applyFaults }) => applyFaults({ loseAnswers: 1 }));
    const id = `${first.createPrefix()}1`;
    const response = await sendBooking(first, id);
    await response.body.dump();
    expect([response.statusCode, response.headers['x-outcome']]).toEqual([502, 'unknown']);
    expect(await lookUp(first, id)).toEqual('502 unknown unknown');
    expect(service.bookings.listBookings().map(({ runs }) => runs)).toEqual([1]);
  });
});

describe('other routes', () => {
  it('responds to GET /v1/addresses with a new request id prefix', async () => {
    const { first } = await startSetup();
    const response = await request(`${first.url}/v1/addresses?customer=orchard&zone=sofia-a`);
    const body = (await response.body.json()) as { customer: string; requestIdPrefix: string };
    expect([body.customer, body.requestIdPrefix.startsWith('entry-1.a1.')]).toEqual([
      'orchard',
      true,
    ]);
    expect(response.headers['x-outcome']).toEqual('done');
  });

  it('responds to GET /healthz', async () => {
    const { first } = await startSetup();
    const response = await request(`${first.url}/healthz`);
    expect(await response.body.json()).toEqual({ status: 'ok', requests: 0 });
  });
});

describe('close', () => {
  // Guards against a graceful shutdown that cuts streams or loses calls.
  it('finishes streams and calls in flight', async () => {
    const { first } = await startSetup();
    const opened = waitForEvent(first, 'opened');
    const streaming = sendCompletion(first, { max_tokens: 150 });
    await opened;
    const calling = sendBooking(first, `${first.createPrefix()}1`);
    await waitForEvent(first, 'send-started');
    const closed = first.server.close();
    const [response, booking] = await Promise.all([streaming, calling]);
    const { text, end } = parseEvents(await response.body.text());
    await booking.body.dump();
    await closed;
    expect([text, end, booking.statusCode]).toEqual([buildAnswer(150), 'done', 201]);
    expect(first.server.countStreams()).toEqual(0);
    await expect(request(`${first.url}/healthz`)).toBeRejected();
  });
});
