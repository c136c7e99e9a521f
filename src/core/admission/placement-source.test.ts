import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RoutableTarget } from '../probing/index.ts';
import { createInFlightTracker, createPlacer } from '../routing/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { Priority } from '../domain-types/index.ts';
import { createAdmission, createPlacementSource } from './index.ts';

function createTarget(id: string, warm: boolean): RoutableTarget {
  const load = { running: 0, queued: 0, heldTokens: 0, capacityTokens: 0, coldLimit: 1, ageMs: 0 };
  return {
    id,
    vm: `vm-${id}`,
    address: '127.0.0.1',
    port: 1,
    availabilityZone: 'sofia-a',
    group: null,
    generation: 1,
    instanceId: 'i1',
    warm,
    load,
    loadAgeMs: 0,
    weight: 1,
    sharingDaemons: 1,
  };
}

interface Case {
  title: string;
  /** Time from which the granter has a free slot; undefined for never. */
  slotAtMs: number | undefined;
  /** Time from which a warm target is listed; undefined for never. */
  warmAtMs: number | undefined;
  expected: string;
  runningAfter: number;
}

// Guards against requests on a cold target without a slot, and against tickets never released.
const cases: Case[] = [
  {
    title: 'uses the slot of a cold target',
    slotAtMs: 0,
    warmAtMs: undefined,
    expected: 'vm-cold at 0',
    runningAfter: 1,
  },
  {
    title: 'requests a slot again until the granter has a free one',
    slotAtMs: 900,
    warmAtMs: undefined,
    expected: 'vm-cold at 1000',
    runningAfter: 1,
  },
  {
    title: 'uses a warm target when no slot becomes free',
    slotAtMs: undefined,
    warmAtMs: 1_000,
    expected: 'vm-warm at 1000',
    runningAfter: 1,
  },
  {
    title: 'refuses at the deadline and releases the ticket',
    slotAtMs: undefined,
    warmAtMs: undefined,
    expected: 'no target has room at 5000',
    runningAfter: 0,
  },
];

describe('createPlacementSource', () => {
  for (const { title, slotAtMs, warmAtMs, expected, runningAfter } of cases) {
    it(title, async () => {
      const timers = createManualTimers();
      const inFlight = createInFlightTracker();
      const admission = createAdmission({
        timers,
        countDaemons: () => 1,
        getLimits: (customer) => ({
          customer,
          requestsPerSecond: 100,
          concurrentRequests: 1,
          tokensPerSecond: 1_000,
          shareWeight: 1,
        }),
      });
      const isAt = (atMs: number | undefined): boolean =>
        atMs !== undefined && timers.getMonotonicMs() >= atMs;
      const placer = createPlacer({
        availabilityZone: 'sofia-a',
        timers,
        inFlight,
        random: () => 0,
        slots: {
          takeSlot: (vm) =>
            Promise.resolve(isAt(slotAtMs) ? { id: 's', vm, release: () => undefined } : undefined),
        },
      });
      const source = createPlacementSource({ timers, admission, placer });
      let text = '';
      const acquire = (): Promise<void> =>
        source
          .acquire({
            customer: 'orchard',
            route: 'assistant',
            priority: Priority.Normal,
            tokens: 10,
            excludedVms: new Set(),
            listTargets: () => [
              createTarget('cold', false),
              ...(isAt(warmAtMs) ? [createTarget('warm', true)] : []),
            ],
          })
          .then(({ placement, refusal }) => {
            const what = placement?.target.vm ?? refusal?.reason ?? refusal?.limit;
            text ||= `${what} at ${timers.getMonotonicMs()}`;
          });
      void acquire();
      await timers.runForAsync(6_000);
      expect(text).toEqual(expected);
      expect(inFlight.countRequests()).toEqual(runningAfter);
      // The customer's limit is one concurrent request, so another one starts only if the ticket of
      // the first was released.
      let isStarted = false;
      void admission
        .acquire({
          customer: 'orchard',
          route: 'other',
          priority: Priority.Normal,
          tokens: 1,
          reserveTarget: () => ({ target: createTarget('warm', true), release: () => undefined }),
        })
        .then(({ ticket }) => {
          isStarted = ticket !== undefined;
        });
      await timers.runForAsync(10);
      expect(isStarted).toEqual(runningAfter === 0);
    });
  }
});
