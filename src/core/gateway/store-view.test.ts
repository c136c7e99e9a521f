import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../fleet/index.ts';
import { createLogger } from '../logs/index.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { StoreObject } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { StoreView } from './store-view.ts';
import { createStoreView } from './store-view.ts';

function createObject(name: string, spec: unknown = {}): StoreObject {
  return { name, revision: 1, spec, status: null };
}

/** The view's own timers fire `earlyMs` before they are due. */
function createTestStoreView(earlyMs = 0): {
  storeView: StoreView;
  timers: ReturnType<typeof createManualTimers>;
} {
  const timers = createManualTimers();
  const storeView = createStoreView({
    timers: {
      ...timers,
      scheduleOnce: (delayMs, listener) => timers.scheduleOnce(delayMs - earlyMs, listener),
    },
    logger: createLogger('test'),
    decodeConfiguration: (spec) => ({ value: spec as ServingConfiguration }),
    decodeTarget: ({ name, spec }) =>
      spec === null ? undefined : ({ id: name, service: 's' } as Target),
  });
  return { storeView, timers };
}

function buildConfiguration(version: number): ServingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], customers: undefined, limits };
}

describe('store view of a gateway', () => {
  // Guards against refusing all requests after a store outage in which the entries expired.
  it('keeps targets whose entries expired in an outage until the grace period ends', () => {
    const { storeView, timers } = createTestStoreView();
    const { targetListener } = storeView;
    targetListener.handleList([createObject('a'), createObject('b')]);
    targetListener.handleOutageEnd?.();
    targetListener.handleList([]);
    expect(storeView.fleet.listTargets('s').length).toEqual(2);
    targetListener.handleObject(createObject('a'));
    timers.runFor(2_500);
    expect(storeView.fleet.listTargets('s').map(({ id }) => id)).toEqual(['a']);
  });

  // Guards against sending requests for good to a target that left as the store went down: the timer
  // that ends the grace period fires early, and nothing ends the period any more.
  it('ends the grace period although its timer fires early', () => {
    const { storeView, timers } = createTestStoreView(0.5);
    const { targetListener } = storeView;
    targetListener.handleList([createObject('a'), createObject('b')]);
    targetListener.handleOutageEnd?.();
    targetListener.handleList([createObject('a')]);
    timers.runFor(10_000);
    expect(storeView.fleet.listTargets('s').map(({ id }) => id)).toEqual(['a']);
  });

  it('starts the grace period anew after each outage', () => {
    const { storeView, timers } = createTestStoreView();
    const { targetListener } = storeView;
    targetListener.handleList([createObject('a')]);
    targetListener.handleOutageEnd?.();
    targetListener.handleList([]);
    timers.runFor(1_500);
    targetListener.handleOutageEnd?.();
    timers.runFor(1_500);
    expect(storeView.fleet.listTargets('s').length).toEqual(1);
    timers.runFor(1_000);
    expect(storeView.fleet.listTargets('s')).toEqual([]);
  });

  // Guards against dropping targets that are younger than the copy that the store came back from.
  it('keeps targets that the store has lost until the grace period ends', () => {
    const { storeView, timers } = createTestStoreView();
    const { targetListener } = storeView;
    targetListener.handleList([createObject('a'), createObject('b')]);
    targetListener.handleRestoration?.();
    targetListener.handleList([createObject('a')]);
    expect(storeView.fleet.listTargets('s').length).toEqual(2);
    timers.runFor(2_500);
    expect(storeView.fleet.listTargets('s').map(({ id }) => id)).toEqual(['a']);
  });

  // Guards against orders to engines that an older entry shows as free (rule TWO).
  it('tells that entries are older than their targets after a restoration', () => {
    const { storeView, timers } = createTestStoreView();
    const { targetListener } = storeView;
    targetListener.handleList([createObject('a')]);
    targetListener.handleOutageEnd?.();
    expect(storeView.areTargetsCurrent()).toEqual(true);
    targetListener.handleRestoration?.();
    targetListener.handleList([createObject('a')]);
    expect(storeView.areTargetsCurrent()).toEqual(false);
    timers.runFor(2_500);
    expect(storeView.areTargetsCurrent()).toEqual(true);
  });

  it('removes a deleted target at once without an outage', () => {
    const { storeView } = createTestStoreView();
    storeView.targetListener.handleList([createObject('a')]);
    storeView.targetListener.handleDelete(createObject('a'));
    expect(storeView.fleet.listTargets('s')).toEqual([]);
  });

  it('removes a target whose entry another writer has made invalid', () => {
    const { storeView } = createTestStoreView();
    storeView.targetListener.handleList([createObject('a')]);
    storeView.targetListener.handleObject(createObject('a', null));
    expect(storeView.fleet.listTargets('s')).toEqual([]);
  });

  // Guards against reverting to an older configuration (rule CONFIG).
  it('never replaces a configuration by an older one', () => {
    const { storeView } = createTestStoreView();
    for (const version of [4, 9, 7]) {
      storeView.configurationListener.handleObject(
        createObject('main', buildConfiguration(version)),
      );
    }
    expect(storeView.getRoutingTable()?.version).toEqual(9);
  });

  it('tracks the zones that operators take out and bring back', () => {
    const { storeView } = createTestStoreView();
    storeView.evacuationListener.handleObject(createObject('zone-a'));
    expect(storeView.isZoneEvacuated('zone-a')).toEqual(true);
    storeView.evacuationListener.handleDelete(createObject('zone-a'));
    expect(storeView.isZoneEvacuated('zone-a')).toEqual(false);
  });
});
