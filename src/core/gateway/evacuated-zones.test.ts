import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../logs/index.ts';
import type { StoreObject } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createEvacuatedZones } from './evacuated-zones.ts';

const ZONES = ['a', 'b', 'c'];

function buildObject(name: string): StoreObject {
  return { name, revision: 1, spec: {}, status: null };
}

describe('evacuated zones after the store has lost its latest changes', () => {
  // Each guards against a zone that is in use although an operator has taken it out (rule EVAC), or
  // that stays out although the operator has taken it back.
  const cases = [
    { name: 'hold what operators wrote since the copy', before: ['a'], listed: [], soon: ['a'] },
    { name: 'hold what operators took back since the copy', before: [], listed: ['b'], soon: [] },
    {
      name: 'follow what is written again',
      before: ['a'],
      listed: ['b'],
      added: ['a', 'c'],
      removed: ['b'],
      soon: ['a', 'c'],
      later: ['a', 'c'],
    },
    {
      name: 'follow the store in the end',
      before: ['a'],
      listed: ['b'],
      soon: ['a'],
      later: ['b'],
    },
  ];
  for (const { name, before, listed, added = [], removed = [], soon, later } of cases) {
    it(name, () => {
      const timers = createManualTimers();
      const { isEvacuated, listener } = createEvacuatedZones(timers, createLogger('test'));
      listener.handleList(before.map(buildObject));
      listener.handleRestoration?.();
      listener.handleList(listed.map(buildObject));
      added.forEach((zone) => listener.handleObject(buildObject(zone)));
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
});
