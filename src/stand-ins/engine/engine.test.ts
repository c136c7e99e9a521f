import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { EnginePhase } from '../../core/domain-types/index.ts';
import { startTestEngine } from './test-engine.ts';
import type { TestEngine } from './test-engine.ts';

const PROMPT = 'quote for 40 grafted vines';

describe('createStandInEngine', () => {
  let engine: TestEngine | undefined;

  afterEach(async () => {
    await engine?.stop();
    engine = undefined;
  });

  // The text must be deterministic, so that tests can compare the completions of two engines.
  it('continues the same text after a continuation', async () => {
    engine = await startTestEngine();
    await engine.startGroup();
    const whole = await engine.requestCompletion({ prompt: PROMPT, max_tokens: 12 });
    const rest = await engine.requestCompletion({
      prompt: PROMPT,
      max_tokens: 12,
      continuation: whole.texts.slice(0, 5),
    });
    expect(whole.offsets).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    expect(whole.total).toEqual(12);
    expect(rest.texts).toEqual(whole.texts.slice(5));
    expect(rest.offsets[0]).toEqual(5);
    expect(rest.total).toEqual(12);
  });

  // Detects a daemon that sends the tokens of another completion as the continuation.
  it('refuses a continuation of another text', async () => {
    engine = await startTestEngine();
    await engine.startGroup();
    const body = { prompt: PROMPT, max_tokens: 12, continuation: ['other'] };
    expect((await engine.requestCompletion(body)).statusCode).toEqual(400);
    expect(engine.engine.members[0]?.member.counters.continuationMismatches).toEqual(1);
  });

  it('keeps a stream without a reader and resumes it', async () => {
    engine = await startTestEngine();
    await engine.startGroup();
    const whole = await engine.requestCompletion({ prompt: PROMPT, max_tokens: 8 });
    const again = await engine.resumeStream(whole.streamId, 3);
    expect(again.texts).toEqual(whole.texts.slice(3));
    expect(again.total).toEqual(8);
  });

  // Rule I1: an incomplete replica must not serve. An engine that serves on after the loss of a
  // member would hide violations.
  it('breaks the replica when a member is missing', async () => {
    engine = await startTestEngine(2, { tokenMs: 20 });
    await engine.startGroup();
    const completion = engine.requestCompletion({ prompt: PROMPT, max_tokens: 10_000 });
    await engine.timers.waitFor(60);
    engine.engine.members[1]?.applyFaults({ down: true });
    expect((await completion).broken).toEqual(true);
    expect((await engine.fetchStatus(0)).phase).toEqual(EnginePhase.Failed);
    expect((await engine.requestCompletion({ prompt: PROMPT, max_tokens: 1 })).statusCode).toEqual(
      503,
    );
  });

  it('is not ready before all members have loaded', async () => {
    engine = await startTestEngine(2);
    await engine.sendOrder(0, {});
    await engine.timers.waitFor(60);
    expect((await engine.fetchStatus(0)).phase).toEqual(EnginePhase.Loading);
    await engine.startGroup();
  });

  // Rule I3 limits the requests at a cold target. An engine that takes more without failing would
  // hide violations.
  it('fails and increments a counter when it is overloaded while cold', async () => {
    engine = await startTestEngine(1, { coldMs: 60_000, coldLimit: 2 });
    await engine.startGroup();
    const body = { prompt: PROMPT, max_tokens: 2_000 };
    const completions = [body, body, body].map((value) => engine?.requestCompletion(value));
    const results = await Promise.all(completions);
    expect(results.some((completion) => completion?.statusCode === 503)).toEqual(true);
    expect(engine.engine.members[0]?.member.counters.coldOverloads).toEqual(1);
    expect((await engine.fetchStatus(0)).phase).toEqual(EnginePhase.Failed);
  });

  it('becomes warm after `coldRequests` completions', async () => {
    engine = await startTestEngine(1, { coldMs: 60_000, coldRequests: 1 });
    await engine.startGroup();
    expect((await engine.fetchStatus(0)).warm).toEqual(false);
    await engine.requestCompletion({ prompt: PROMPT, max_tokens: 2 });
    expect((await engine.fetchStatus(0)).warm).toEqual(true);
  });

  it('fails and increments a counter when held requests exceed its memory', async () => {
    engine = await startTestEngine(1, { capacityTokens: 30 });
    await engine.startGroup();
    const completion = await engine.requestCompletion({ prompt: PROMPT, max_tokens: 100 });
    expect(completion.broken).toEqual(true);
    expect(engine.engine.members[0]?.member.counters.memoryOverloads).toEqual(1);
  });

  it('refuses a stale fencing token only when it checks fencing', async () => {
    engine = await startTestEngine();
    await engine.startGroup(5, 1);
    expect(await engine.sendOrder(0, { epoch: 4, generation: 2 })).toEqual(409);
    engine.engine.members[0]?.applyFaults({ ignoreFencing: true });
    expect(await engine.sendOrder(0, { epoch: 4, generation: 2 })).toEqual(200);
    expect((await engine.fetchStatus(0)).generation).toEqual(2);
  });

  // The `silent` fault must leave connections open: a closed connection is a different failure.
  it('stops responding on open connections while new connections work', async () => {
    engine = await startTestEngine(1, { tokenMs: 5 });
    await engine.startGroup();
    const abort = new AbortController();
    const completion = engine.requestCompletion({ prompt: PROMPT, max_tokens: 40 }, abort.signal);
    await engine.timers.waitFor(50);
    engine.engine.members[0]?.applyFaults({ silent: true });
    await engine.timers.waitFor(400);
    abort.abort();
    const silent = await completion;
    expect(silent.total).toEqual(undefined);
    const resumed = await engine.resumeStream(silent.streamId, 0);
    expect(resumed.total).toEqual(40);
  });

  it('restarts as a new instance without weights after `down`', async () => {
    engine = await startTestEngine();
    await engine.startGroup();
    const before = await engine.fetchStatus(0);
    engine.engine.members[0]?.applyFaults({ down: true, forMs: 30 });
    await expect(engine.fetchStatus(0)).toBeRejected();
    await engine.timers.waitFor(80);
    const after = await engine.fetchStatus(0);
    expect(after.instanceId).not.toEqual(before.instanceId);
    expect(after.phase).toEqual(EnginePhase.Empty);
  });

  it('continues after `frozen` ends', async () => {
    engine = await startTestEngine();
    await engine.startGroup();
    engine.engine.members[0]?.applyFaults({ frozen: true, forMs: 50 });
    const completion = await engine.requestCompletion({ prompt: PROMPT, max_tokens: 3 });
    expect(completion.total).toEqual(3);
  });
});
