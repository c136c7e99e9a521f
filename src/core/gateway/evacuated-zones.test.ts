import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import { createRestorableStore } from '../store/fixtures/restorable-store.ts';
import type { StoreObject } from '../store/index.ts';
import { createEraTracker, createInstrumentedStore, StoreKind } from '../store/index.ts';
import { computeFeedTiming, startFeed } from '../store-feed/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createEvacuatedZones } from './evacuated-zones.ts';

const ZONES = ['a', 'b', 'c'];
const REVISION = 1;
const LATER_REVISION = 2;

function buildObject(name: string, revision = REVISION): StoreObject {
  return { name, revision, spec: {}, status: null };
}

interface Case {
  name: string;
  before: string[];
  /** Zones of `before` that operators take back before the store goes away. */
  takenBack?: string[];
  /** Zones in the copy that the store comes back from. */
  copied?: string[];
  /** Zones that operators have evacuated between the return of the store and the first list. */
  evacuatedSince?: string[];
  /** Zones that operators evacuate or take back after the first list. */
  added?: string[];
  removed?: string[];
  soon: string[];
  later?: string[];
}

describe('evacuated zones after the store has lost its latest changes', () => {
  // Each guards against a zone that is in use although an operator has taken it out (rule EVAC), or
  // that stays out although the operator has taken it back.
  const cases: Case[] = [
    { name: 'hold what operators wrote since the copy', before: ['a'], soon: ['a'] },
    {
      name: 'hold what operators took back since the copy',
      before: ['b'],
      takenBack: ['b'],
      copied: ['b'],
      soon: [],
    },
    {
      name: 'follow at once what operators wrote between the return and the first list',
      before: [],
      evacuatedSince: ['a'],
      soon: ['a'],
      later: ['a'],
    },
    {
      name: 'follow at once what operators wrote again for a zone that they had taken back',
      before: ['b'],
      takenBack: ['b'],
      evacuatedSince: ['b'],
      soon: ['b'],
      later: ['b'],
    },
    {
      name: 'follow at once what is written beside evacuations that are held',
      before: ['a'],
      evacuatedSince: ['b'],
      soon: ['a', 'b'],
      later: ['b'],
    },
    {
      name: 'follow what is written again',
      before: ['a', 'b'],
      takenBack: ['b'],
      copied: ['b'],
      added: ['a', 'c'],
      removed: ['b'],
      soon: ['a', 'c'],
      later: ['a', 'c'],
    },
    {
      name: 'follow an evacuation that is written again and taken back again',
      before: ['a'],
      added: ['a'],
      removed: ['a'],
      soon: [],
      later: [],
    },
    {
      name: 'follow the store in the end',
      before: ['a', 'b'],
      takenBack: ['b'],
      copied: ['b'],
      soon: ['a'],
      later: ['b'],
    },
  ];
  for (const testCase of cases) {
    const { name, before, takenBack = [], copied = [], evacuatedSince = [] } = testCase;
    const { added = [], removed = [], soon, later } = testCase;
    it(name, () => {
      const timers = createManualTimers();
      const { isEvacuated, listener } = createEvacuatedZones(timers, createLogger('test'));
      listener.handleList(before.map((zone) => buildObject(zone)));
      takenBack.forEach((zone) => listener.handleDelete(buildObject(zone)));
      listener.handleRestoration?.();
      listener.handleList([
        ...copied.map((zone) => buildObject(zone)),
        ...evacuatedSince.map((zone) => buildObject(zone, LATER_REVISION)),
      ]);
      added.forEach((zone) => listener.handleObject(buildObject(zone, LATER_REVISION)));
      removed.forEach((zone) => listener.handleDelete(buildObject(zone)));
      timers.runFor(2_000);
      expect(ZONES.filter(isEvacuated)).toEqual(soon);
      timers.runFor(5_000);
      if (later !== undefined) expect(ZONES.filter(isEvacuated)).toEqual(later);
    });
  }

  it('hold through a second restoration', () => {
    const timers = createManualTimers();
    const { isEvacuated, listener } = createEvacuatedZones(timers, createLogger('test'));
    listener.handleList([buildObject('a')]);
    listener.handleRestoration?.();
    listener.handleList([]);
    timers.runFor(1_000);
    listener.handleRestoration?.();
    listener.handleList([]);
    timers.runFor(4_500);
    expect(ZONES.filter(isEvacuated)).toEqual(['a']);
  });

  // Guards against an older copy that has the evacuation of before the last one, which was in force.
  it('hold an evacuation that follows one that was taken back', () => {
    const timers = createManualTimers();
    const { isEvacuated, listener } = createEvacuatedZones(timers, createLogger('test'));
    listener.handleList([buildObject('a')]);
    listener.handleDelete(buildObject('a'));
    listener.handleObject(buildObject('a', LATER_REVISION));
    listener.handleRestoration?.();
    listener.handleList([buildObject('a')]);
    expect(ZONES.filter(isEvacuated)).toEqual(['a']);
  });
});

/** Bound on the time from an evacuation to the last request that its zone gets. */
const EVACUATION_BOUND_MS = 5_000;

describe('a zone that is evacuated just after the store has come back', () => {
  // Guards against an evacuation that is put off until operators have written again what was lost.
  for (const evacuatedMs of [0, 100, 1_000]) {
    it(`is out of use within the bound, ${evacuatedMs} ms after the return`, async () => {
      const timers = createManualTimers();
      const logger = createLogger('test');
      const store = createRestorableStore(timers);
      const eras = createEraTracker(logger);
      const zones = createEvacuatedZones(timers, logger);
      const feed = startFeed({
        kind: StoreKind.Evacuations,
        store: createInstrumentedStore(store.client, () => undefined, eras.observe),
        timers,
        logger,
        errorReporter: createErrorReporter(() => undefined),
        eras,
        timing: computeFeedTiming(EVACUATION_BOUND_MS),
        isListedStale: false,
        getPauseMs: () => 0,
        isWatcher: () => true,
        listener: zones.listener,
      });
      await timers.runForAsync(3_000);
      store.takeCopy();
      await timers.runForAsync(3_000);
      store.setCutOff(true);
      await timers.runForAsync(1_000);
      store.setCutOff(false);
      store.restore();
      await timers.runForAsync(evacuatedMs);
      store.put('a', {});
      await timers.runForAsync(EVACUATION_BOUND_MS);
      expect(zones.isEvacuated('a')).toEqual(true);
      feed.stop();
    });
  }
});
