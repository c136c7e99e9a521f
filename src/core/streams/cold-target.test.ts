import { readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createAdmission, createPlacementSource } from '../admission/index.ts';
import type { PlacementSourceResult } from '../admission/index.ts';
import { createEventRecorder, formatEvent } from '../events/index.ts';
import { createInFlightTracker, createPlacer } from '../routing/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { Priority } from '../domain-types/index.ts';
import { createTarget } from './fixtures/create-session.ts';
import { createFakeEngine } from './fixtures/fake-engine.ts';
import { createFakeSink } from './fixtures/fake-sink.ts';
import type { FakeSink } from './fixtures/fake-sink.ts';
import { createAnswerStream, createBufferBudget } from './index.ts';

const GOLDEN = 'src/core/streams/fixtures/turned-cold.golden.txt';
const VM = 'vm-1';

/** Creates a daemon with one target, whose granter grants one slot at a time. */
function createSetup() {
  const timers = createManualTimers();
  const events = createEventRecorder('entry-1', timers);
  const engine = createFakeEngine({ timers, tokenMs: 100, answerTokens: 10 });
  const admission = createAdmission({
    timers,
    getLimits: () => undefined,
    countDaemons: () => 1,
  });
  let isWarm = true;
  let freeSlots = 1;
  const takeSlot = async (vm: string) => {
    await timers.waitFor(1);
    if (freeSlots === 0) return undefined;
    freeSlots--;
    events.record('test', 'slot-taken', { target: vm });
    const release = (): void => {
      freeSlots++;
      events.record('test', 'slot-released', { target: vm });
    };
    return { id: 's', vm, release };
  };
  const placer = createPlacer({
    availabilityZone: 'sofia-a',
    timers,
    inFlight: createInFlightTracker(),
    random: () => 0,
    slots: { takeSlot },
  });
  const source = createPlacementSource({ timers, admission, placer });
  const load = { ...createTarget(VM).load, capacityTokens: 1_000 };
  const acquire = (): Promise<PlacementSourceResult> =>
    source.acquire({
      customer: 'orchard',
      route: 'assistant-llm',
      priority: Priority.Normal,
      tokens: 20,
      excludedVms: new Set(),
      listTargets: () => [{ ...createTarget(VM), load, warm: isWarm }],
    });
  const send = async (id: string): Promise<FakeSink> => {
    const sink = createFakeSink();
    const { placement, refusal } = await acquire();
    if (placement === undefined) throw new Error(refusal.reason);
    const request = { id, model: 'm', prompt: 'p', maxTokens: 10, priority: 'normal' };
    createAnswerStream({
      dependencies: {
        timers,
        events,
        metrics: { increment: () => undefined },
        engine,
        budget: createBufferBudget(),
        reportObservation({ vm, warm }) {
          if (warm !== undefined) isWarm = warm;
          events.record('test', 'observation', { target: vm, warm: String(warm) });
        },
        createId: () => 'a',
      },
      request,
      placement,
      sink,
      acquirePlacement: acquire,
    });
    return sink;
  };
  return { timers, events, engine, send };
}

describe('a warm target that turns cold', () => {
  // Guards against a daemon sending full load to a target after its first response that says cold.
  it('receives one request at a time, each holding a slot until its stream has ended', async () => {
    const { timers, events, engine, send } = createSetup();
    engine.setCold(VM);
    const sinks: Promise<FakeSink>[] = [send('r1')];
    await timers.runForAsync(50);
    // The first response said cold, so both further requests need a slot, and only one is free.
    sinks.push(send('r2'), send('r3'));
    await timers.runForAsync(500);
    expect(engine.countRunning()).toEqual(2);
    await timers.runForAsync(4_000);
    const ends = await Promise.all(sinks.map(async (sink) => (await sink).getEnd()));
    expect(ends).toEqual([10, 10, 10]);
    const text = `${events.read().map(formatEvent).join('\n')}\n`;
    if (process.env.UPDATE_GOLDEN === '1') writeFileSync(GOLDEN, text);
    expect(text).toEqual(readFileSync(GOLDEN, 'utf8'));
  });
});
