import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildTarget } from './fixtures/build-target.ts';
import { createFleet } from './index.ts';

const READY = buildTarget('i-1');
const LEAVING = buildTarget('i-1', { isLeaving: true });

describe('fleet', () => {
  const cases = [
    {
      // Guards against requests to a target whose older entry the store has restored (rule DRAIN).
      name: 'keeps a target leaving when an older entry comes back',
      entries: [READY, LEAVING, READY],
      isLeaving: true,
    },
    {
      name: 'keeps it leaving when its entry lapses in between',
      entries: [LEAVING, undefined, READY],
      isLeaving: true,
    },
    {
      name: 'takes a new start under the same id for ready',
      entries: [LEAVING, buildTarget('i-1', { startedWallMs: 6 })],
      isLeaving: false,
    },
    {
      name: 'follows entries that do not tell starts apart',
      entries: [
        buildTarget('i-1', { isLeaving: true, startedWallMs: 0 }),
        buildTarget('i-1', { startedWallMs: 0 }),
      ],
      isLeaving: false,
    },
  ];
  for (const { name, entries, isLeaving } of cases) {
    it(name, () => {
      for (const hasList of [false, true]) {
        const fleet = createFleet();
        for (const entry of entries) {
          if (hasList) fleet.resetTargets(entry === undefined ? [] : [entry]);
          else if (entry === undefined) fleet.removeTarget('i-1');
          else fleet.setTarget(entry);
        }
        expect(fleet.findTarget('i-1')?.isLeaving).toEqual(isLeaving);
      }
    });
  }

  // Guards against loading a model anew on an engine that has left its group: its entry names no model
  // then, but it joins a group of the same one at once.
  const SERVING = buildTarget('i-1', { currentModel: 'm' });
  const models = [
    { name: 'keeps the last model of a target', entry: READY, model: 'm' },
    { name: 'replaces it', entry: buildTarget('i-1', { currentModel: 'n' }), model: 'n' },
    {
      name: 'drops it at a new start',
      entry: buildTarget('i-1', { startedWallMs: 6 }),
      model: undefined,
    },
  ];
  for (const { name, entry, model } of models) {
    it(name, () => {
      for (const hasList of [false, true]) {
        const fleet = createFleet();
        fleet.setTarget(SERVING);
        if (hasList) fleet.resetTargets([entry]);
        else fleet.setTarget(entry);
        expect(fleet.findTarget('i-1')?.currentModel).toEqual(model);
      }
    });
  }
});
