import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { waitForEvent } from './fixtures/create-test-daemons.ts';
import type { TestSetup } from './fixtures/create-test-daemons.ts';
import {
  buildAnswer,
  parseEvents,
  sendCompletion,
  startSetup,
  stopSetups,
} from './fixtures/caller.ts';
import type { Chunk } from './fixtures/caller.ts';

afterEach(stopSetups);

interface CompletionCase {
  title: string;
  /** Injects a fault after the stream was opened. */
  injectFault?: (setup: TestSetup) => void;
  tokens: number;
}

const completionCases: CompletionCase[] = [
  { title: 'streams a complete answer', tokens: 40 },
  {
    title: 'continues the answer when its engine goes down during the stream',
    injectFault: ({ engine }) => findBusyEngine(engine).applyFaults({ down: true }),
    tokens: 200,
  },
  {
    title: 'continues the answer when the connection to its engine goes silent',
    injectFault: ({ engine }) => findBusyEngine(engine).applyFaults({ silent: true }),
    tokens: 200,
  },
];

function findBusyEngine({ members }: TestSetup['engine']) {
  const busy = members.find(({ member }) => member.counters.completions > 0);
  if (busy === undefined) throw new Error('no engine runs a completion');
  return busy;
}

describe('POST /v1/completions', () => {
  for (const { title, injectFault, tokens } of completionCases) {
    it(title, async () => {
      const setup = await startSetup();
      const opened = waitForEvent(setup.first, 'opened');
      const response = await sendCompletion(setup.first, { max_tokens: tokens });
      await opened;
      injectFault?.(setup);
      const { text, end } = parseEvents(await response.body.text());
      expect([response.statusCode, response.headers['x-outcome']]).toEqual([200, 'done']);
      expect([text, end]).toEqual([buildAnswer(tokens), 'done']);
      const counters = setup.engine.members.map(({ member }) => member.counters);
      expect(counters.map((counter) => counter.continuationMismatches)).toEqual([0, 0, 0]);
    });
  }

  it('returns a single JSON response without streaming', async () => {
    const { first } = await startSetup();
    const response = await sendCompletion(first, { stream: false });
    const body = (await response.body.json()) as Chunk & { usage: { completion_tokens: number } };
    expect(body.choices?.[0]?.text).toEqual(buildAnswer(40));
    expect([body.usage.completion_tokens, response.headers['x-outcome']]).toEqual([40, 'done']);
  });

  it('resumes a stream at another daemon', async () => {
    const { first, second } = await startSetup();
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

  // Guards against engines that keep generating tokens for callers that disconnected.
  it('cancels the stream at the engine when the caller disconnects', async () => {
    const { first, engine } = await startSetup();
    const cancelled = waitForEvent(first, 'completion-ended');
    const response = await sendCompletion(first, { max_tokens: 20_000, prompt: '' });
    response.body.on('error', () => undefined);
    response.body.destroy();
    await cancelled;
    const counts = engine.members.map(({ member }) => member.counters.cancelled);
    expect(counts.reduce((sum, count) => sum + count, 0)).toEqual(1);
    expect(first.inFlight.countRequests()).toEqual(0);
  });

  it('refuses a request over a limit with not-run and a retry-after header', async () => {
    const { first } = await startSetup({ limits: { requestsPerSecond: 2 } });
    await (await sendCompletion(first)).body.dump();
    const response = await sendCompletion(first);
    const { error, outcome } = (await response.body.json()) as {
      error: { kind: string };
      outcome: string;
    };
    const { headers } = response;
    expect([response.statusCode, headers['x-outcome'], headers['retry-after']]).toEqual([
      429,
      'not-run',
      '1',
    ]);
    expect([error.kind, outcome]).toEqual(['limit-reached', 'not-run']);
  });

  it('refuses with not-run when no target becomes available before the deadline', async () => {
    const { first } = await startSetup();
    const response = await sendCompletion(first, { model: 'unknown' });
    await response.body.dump();
    const { headers } = response;
    expect([response.statusCode, headers['x-outcome'], headers['retry-after']]).toEqual([
      503,
      'not-run',
      '1',
    ]);
  });
});
