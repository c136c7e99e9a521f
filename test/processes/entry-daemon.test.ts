import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { Outcome } from '../../src/core/domain-types/index.ts';
import type { ProcessSession } from './process-session.ts';
import { startProcessSession } from './process-session.ts';

const TOKENS = 300;
const TOKENS_BEFORE_FAULT = 40;

/** Runs a completion and injects a fault when 40 parts of the answer have arrived. */
async function runWithFault(
  session: ProcessSession,
  fault: (daemon: string) => void,
): Promise<{ text: string; total: number; attempts: number }> {
  const caller = session.createCaller();
  const [first] = await caller.fetchAddresses();
  let parts = 0;
  const result = await caller.runCompletion({
    model: 'assistant-llm',
    prompt: 'Summarise the standing orders of the nursery.',
    maxTokens: TOKENS,
    handleText: () => {
      parts += 1;
      if (parts === TOKENS_BEFORE_FAULT) fault(first?.daemon ?? '');
    },
  });
  await caller.close();
  return result;
}

describe('entry daemons as processes', () => {
  let session: ProcessSession;
  let reference = '';

  before(async () => {
    session = await startProcessSession();
    const caller = session.createCaller();
    const { text } = await caller.runCompletion({
      model: 'assistant-llm',
      prompt: 'Summarise the standing orders of the nursery.',
      maxTokens: TOKENS,
    });
    reference = text;
    await caller.close();
  });
  after(() => session.stop());

  // Guards against an answer that is truncated, or that repeats tokens, when its daemon is killed.
  it('completes the answer through another daemon after SIGKILL during the stream', async () => {
    const result = await runWithFault(session, (daemon) => {
      session.daemons.get(daemon)?.sendSignal('SIGKILL');
    });
    expect(result.text).toEqual(reference);
    expect(result.total).toEqual(TOKENS);
    expect(result.attempts).toBeGreaterThanOrEqual(2);
    const killed = session.entries.filter(({ name }) => {
      const daemon = session.daemons.get(name);
      return daemon !== undefined && !session.cluster.runner.isRunning(daemon);
    });
    killed.forEach((entry) => session.daemons.set(entry.name, session.cluster.startEntry(entry)));
    await Promise.all(killed.map(session.cluster.waitForEntry));
  });

  // Guards against a planned stop that interrupts streams in flight.
  it('finishes the streams in flight during a planned stop', async () => {
    let stopped: Promise<number | NodeJS.Signals> | undefined;
    const result = await runWithFault(session, (daemon) => {
      stopped = session.daemons.get(daemon)?.stop();
    });
    expect(result.text).toEqual(reference);
    expect(result.attempts).toEqual(1);
    expect(await stopped).toEqual(0);
  });

  // Guards against a daemon that can't start while the platform is down.
  it('starts a daemon with copies from its peers while the platform is down', async () => {
    const { entries, cluster } = session;
    const stopped = entries.find(({ name }) => {
      const daemon = session.daemons.get(name);
      return daemon !== undefined && !cluster.runner.isRunning(daemon);
    });
    if (stopped === undefined)
      throw new Error('no stopped daemon; the preceding test should have stopped one');
    await cluster.sendControlRequest(cluster.topology.platformPort, '/faults', { down: true });
    session.daemons.set(stopped.name, cluster.startEntry(stopped));
    await cluster.waitForEntry(stopped);
    const { text } = await session.waitFor('an answer of the new daemon', async () => {
      const caller = session.createCallerAt(stopped);
      try {
        return await caller.runCompletion({
          model: 'assistant-llm',
          prompt: 'Summarise the standing orders of the nursery.',
          maxTokens: TOKENS,
        });
      } finally {
        await caller.close();
      }
    });
    expect(text).toEqual(reference);
    await cluster.sendControlRequest(cluster.topology.platformPort, '/faults', { down: false });
  });

  // Guards against an order that runs twice when it is sent again through another daemon.
  it('books an order once although its caller repeats it through every daemon', async () => {
    const caller = session.createCaller();
    const order = await caller.sendNonIdempotentCall({
      service: 'orders',
      path: '/bookings',
      body: { item: 'seedlings', quantity: 1 },
    });
    await caller.close();
    expect(order.outcome).toEqual(Outcome.Done);
    const again = await Promise.all(
      session.entries.map(({ callers }) => session.repeatOrder(callers, order.requestId)),
    );
    expect(again).toEqual(session.entries.map(() => Outcome.Done));
    expect(await session.countBookings(order.requestId)).toEqual(1);
  });
});
