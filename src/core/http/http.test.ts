import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { createAnswerText } from '../../stand-ins/engine/index.ts';
import { createTestDaemons, waitForEvent } from './fixtures/create-test-daemons.ts';
import type { TestDaemon, TestSetup, TestSetupOptions } from './fixtures/create-test-daemons.ts';

const MODEL = 'assistant-llm';
const PROMPT = 'draft a quote';
const CUSTOMER = { 'x-customer': 'orchard' };
const JSON_HEADERS = { ...CUSTOMER, 'content-type': 'application/json' };

const setups: TestSetup[] = [];

async function start(
  options?: TestSetupOptions,
): Promise<TestSetup & { first: TestDaemon; second: TestDaemon }> {
  const setup = await createTestDaemons(options);
  setups.push(setup);
  const [first, second] = setup.daemons;
  if (first === undefined || second === undefined) throw new Error('a daemon is missing');
  return { ...setup, first, second };
}

afterEach(async () => {
  await Promise.all(setups.splice(0).map((setup) => setup.stop()));
});

function buildAnswer(tokens: number): string {
  const getText = createAnswerText(MODEL, PROMPT);
  return Array.from({ length: tokens }, (_, offset) => getText(offset)).join('');
}

interface Received {
  text: string;
  lastId: string;
  end: string;
}

interface Chunk {
  choices?: { text: string }[];
  error?: { kind: string };
}

/** Reads server-sent events as a caller does. */
function parseEvents(body: string): Received {
  const received = { text: '', lastId: '', end: '' };
  for (const event of body.split('\n\n')) {
    const data = /^data: (?<data>.*)$/m.exec(event)?.groups?.data;
    received.lastId = /^id: (?<id>.*)$/m.exec(event)?.groups?.id ?? received.lastId;
    if (data === undefined) continue;
    if (data === '[DONE]') {
      received.end = 'done';
      continue;
    }
    const chunk = JSON.parse(data) as Chunk;
    received.text += chunk.choices?.[0]?.text ?? '';
    received.end = chunk.error?.kind ?? received.end;
  }
  return received;
}

function sendCompletion(
  { url }: TestDaemon,
  body: Record<string, unknown> = {},
  headers: Record<string, string> = {},
) {
  return request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { ...JSON_HEADERS, ...headers },
    body: JSON.stringify({ model: MODEL, prompt: PROMPT, max_tokens: 40, stream: true, ...body }),
  });
}

interface CompletionCase {
  title: string;
  /** Runs while the first tokens arrive. */
  disturb?: (setup: TestSetup) => void;
  tokens: number;
}

const completionCases: CompletionCase[] = [
  { title: 'streams a whole answer', tokens: 40 },
  {
    title: 'continues the answer when its engine goes down in mid-stream',
    disturb: ({ engine }) => findBusyEngine(engine).applyFaults({ down: true }),
    tokens: 200,
  },
  {
    title: 'continues the answer when the connection to its engine goes silent',
    disturb: ({ engine }) => findBusyEngine(engine).applyFaults({ silent: true }),
    tokens: 200,
  },
];

function findBusyEngine({ members }: TestSetup['engine']) {
  const busy = members.find(({ member }) => member.counters.completions > 0);
  if (busy === undefined) throw new Error('no engine is busy');
  return busy;
}

describe('POST /v1/completions', () => {
  for (const { title, disturb, tokens } of completionCases) {
    it(title, async () => {
      const setup = await start();
      const opened = waitForEvent(setup.first, 'opened');
      const answer = await sendCompletion(setup.first, { max_tokens: tokens });
      await opened;
      disturb?.(setup);
      const { text, end } = parseEvents(await answer.body.text());
      expect([answer.statusCode, answer.headers['x-outcome']]).toEqual([200, 'done']);
      expect([text, end]).toEqual([buildAnswer(tokens), 'done']);
      const counters = setup.engine.members.map(({ member }) => member.counters);
      expect(counters.map((counter) => counter.continuationMismatches)).toEqual([0, 0, 0]);
    });
  }

  it('answers in one piece without a stream', async () => {
    const { first } = await start();
    const answer = await sendCompletion(first, { stream: false });
    const body = (await answer.body.json()) as Chunk & { usage: { completion_tokens: number } };
    expect(body.choices?.[0]?.text).toEqual(buildAnswer(40));
    expect([body.usage.completion_tokens, answer.headers['x-outcome']]).toEqual([40, 'done']);
  });

  it('resumes at another daemon', async () => {
    const { first, second } = await start();
    const broken = await sendCompletion(first, { max_tokens: 200 });
    let received = '';
    for await (const chunk of broken.body) {
      received += (chunk as Buffer).toString();
      if (received.split('\n\n').length > 20) break;
    }
    const whole = received.slice(0, received.lastIndexOf('\n\n') + 2);
    const before = parseEvents(whole);
    const resumed = await sendCompletion(
      second,
      { max_tokens: 200 },
      { 'last-event-id': before.lastId },
    );
    const after = parseEvents(await resumed.body.text());
    expect([before.text + after.text, after.end]).toEqual([buildAnswer(200), 'done']);
  });

  // Guards against an engine that works for callers that have gone.
  it('cancels the stream at the engine when the caller has gone', async () => {
    const { first, engine } = await start();
    const cancelled = waitForEvent(first, 'completion-ended');
    const answer = await sendCompletion(first, { max_tokens: 20_000, prompt: '' });
    answer.body.on('error', () => undefined);
    answer.body.destroy();
    await cancelled;
    const counts = engine.members.map(({ member }) => member.counters.cancelled);
    expect(counts.reduce((sum, count) => sum + count, 0)).toEqual(1);
    expect(first.inFlight.countRequests()).toEqual(0);
  });

  it('refuses at a limit with not-run and a time to wait', async () => {
    const { first } = await start({ limits: { requestsPerSecond: 2 } });
    await (await sendCompletion(first)).body.dump();
    const answer = await sendCompletion(first);
    const { error, outcome } = (await answer.body.json()) as {
      error: { kind: string };
      outcome: string;
    };
    const { headers } = answer;
    expect([answer.statusCode, headers['x-outcome'], headers['retry-after']]).toEqual([
      429,
      'not-run',
      '1',
    ]);
    expect([error.kind, outcome]).toEqual(['limit-reached', 'not-run']);
  });

  it('refuses with not-run when no target comes before the deadline', async () => {
    const { first } = await start();
    const answer = await sendCompletion(first, { model: 'unknown' });
    await answer.body.dump();
    const { headers } = answer;
    expect([answer.statusCode, headers['x-outcome'], headers['retry-after']]).toEqual([
      503,
      'not-run',
      '1',
    ]);
  });
});

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
  { title: 'a broken body', path: COMPLETIONS, body: '{', expected: [400, 'request-invalid'] },
  {
    title: 'a broken resume token',
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
    title: 'a non-idempotent call with an id of the caller',
    path: '/v1/services/order-app/bookings',
    headers: { 'x-idempotent': 'false', 'x-request-id': 'order-17' },
    body: '{}',
    expected: [400, 'request-id-not-issued'],
  },
  { title: 'an unknown path', path: '/v2', body: '{}', expected: [404, 'request-invalid'] },
];

describe('invalid requests', () => {
  for (const { title, path, headers, body, expected } of invalidCases) {
    it(`refuses ${title}`, async () => {
      const { first } = await start();
      const answer = await request(`${first.url}${path}`, {
        method: 'POST',
        headers: { ...JSON_HEADERS, ...headers },
        body: body ?? null,
      });
      const { error } = (await answer.body.json()) as { error: { kind: string } };
      expect([answer.statusCode, error.kind]).toEqual(expected);
      expect(answer.headers['x-outcome']).toEqual('not-run');
    });
  }
});

function sendBooking({ url }: TestDaemon, id: string) {
  return request(`${url}/v1/services/order-app/bookings`, {
    method: 'POST',
    headers: { ...JSON_HEADERS, 'x-idempotent': 'false', 'x-request-id': id },
    body: '{"item":"seedlings"}',
  });
}

async function lookUp({ url }: TestDaemon, id: string): Promise<string> {
  const answer = await request(`${url}/v1/requests/${id}`, { headers: CUSTOMER });
  const body = (await answer.body.json()) as { outcome: string; bodyBase64?: string };
  const text = Buffer.from(body.bodyBase64 ?? '', 'base64').toString();
  return `${answer.statusCode} ${answer.headers['x-outcome']} ${body.outcome} ${text}`.trim();
}

describe('/v1/services', () => {
  it('passes an idempotent call with its query on', async () => {
    const { first } = await start();
    const url = `${first.url}/v1/services/order-app/stock/seedlings?day=1`;
    const answer = await request(url, { headers: CUSTOMER });
    expect(await answer.body.json()).toEqual({ item: 'seedlings', quantity: 1_200 });
    expect([answer.statusCode, answer.headers['x-outcome']]).toEqual([200, 'done']);
    expect(answer.headers['x-load']).toEqual(undefined);
  });

  it('runs a non-idempotent call once, through any daemon', async () => {
    const { first, second, service } = await start();
    const id = `${first.createPrefix()}1`;
    const answers = await Promise.all([sendBooking(first, id), sendBooking(second, id)]);
    const bodies = await Promise.all(answers.map(({ body }) => body.json()));
    expect(bodies).toEqual([
      { requestId: id, runs: 1 },
      { requestId: id, runs: 1 },
    ]);
    expect(answers.map(({ statusCode }) => statusCode)).toEqual([201, 201]);
    expect(await lookUp(second, id)).toEqual(`200 done done {"requestId":"${id}","runs":1}`);
    expect(service.bookings.listBookings()).toHaveLength(1);
  });

  it('closes an id that is looked up first', async () => {
    const { first, second, service } = await start();
    const id = `${first.createPrefix()}1`;
    expect(await lookUp(second, id)).toEqual('200 not-run not-run');
    const answer = await sendBooking(first, id);
    await answer.body.dump();
    const { headers } = answer;
    expect([answer.statusCode, headers['x-outcome'], headers['retry-after']]).toEqual([
      503,
      'not-run',
      '1',
    ]);
    expect(service.bookings.listBookings()).toHaveLength(0);
  });

  it('says unknown when the answer of the service is lost', async () => {
    const { first, service } = await start();
    service.targets.forEach(({ applyFaults }) => applyFaults({ loseAnswers: 1 }));
    const id = `${first.createPrefix()}1`;
    const answer = await sendBooking(first, id);
    await answer.body.dump();
    expect([answer.statusCode, answer.headers['x-outcome']]).toEqual([502, 'unknown']);
    expect(await lookUp(first, id)).toEqual('502 unknown unknown');
    expect(service.bookings.listBookings().map(({ runs }) => runs)).toEqual([1]);
  });
});

describe('other routes', () => {
  it('answers GET /v1/addresses with a new prefix', async () => {
    const { first } = await start();
    const answer = await request(`${first.url}/v1/addresses?customer=orchard&zone=sofia-a`);
    const body = (await answer.body.json()) as { customer: string; requestIdPrefix: string };
    expect([body.customer, body.requestIdPrefix.startsWith('entry-1.a1.')]).toEqual([
      'orchard',
      true,
    ]);
    expect(answer.headers['x-outcome']).toEqual('done');
  });

  it('answers GET /healthz', async () => {
    const { first } = await start();
    const answer = await request(`${first.url}/healthz`);
    expect(await answer.body.json()).toEqual({ status: 'ok', requests: 0 });
  });
});

describe('close', () => {
  // Guards against a planned stop that breaks answers or loses calls.
  it('finishes streams and calls in flight', async () => {
    const { first } = await start();
    const opened = waitForEvent(first, 'opened');
    const streaming = sendCompletion(first, { max_tokens: 150 });
    await opened;
    const calling = sendBooking(first, `${first.createPrefix()}1`);
    await waitForEvent(first, 'send-started');
    const closed = first.server.close();
    const [answer, booking] = await Promise.all([streaming, calling]);
    const { text, end } = parseEvents(await answer.body.text());
    await booking.body.dump();
    await closed;
    expect([text, end, booking.statusCode]).toEqual([buildAnswer(150), 'done', 201]);
    expect(first.server.countStreams()).toEqual(0);
    await expect(request(`${first.url}/healthz`)).toBeRejected();
  });
});
