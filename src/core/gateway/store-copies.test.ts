import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StoreKind } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createStoreCopies } from './store-copies.ts';

const BOUND_MS = 2_000;

describe('age of the copies of the store', () => {
  const cases = [
    { name: 'was never listed', confirmedMs: undefined, isCurrent: false, ages: [] },
    { name: 'was confirmed just now', confirmedMs: 9_000, isCurrent: true, ages: [1_000] },
    { name: 'was confirmed too long ago', confirmedMs: 7_900, isCurrent: false, ages: [2_100] },
  ];
  for (const { name, confirmedMs, isCurrent, ages } of cases) {
    it(`shows whether one that ${name} is current`, () => {
      const timers = createManualTimers();
      timers.runFor(10_000 - timers.getMonotonicMs());
      const feeds = new Map([[StoreKind.Configuration, { getConfirmedMs: () => confirmedMs }]]);
      const copies = createStoreCopies(feeds, timers);
      expect(copies.isCurrent(StoreKind.Configuration, BOUND_MS)).toEqual(isCurrent);
      expect(copies.isCurrent(StoreKind.Targets, BOUND_MS)).toEqual(false);
      expect(copies.listAges().map(({ ageMs }) => ageMs)).toEqual(ages);
    });
  }
});
