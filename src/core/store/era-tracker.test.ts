import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../logs/index.ts';
import { createEraTracker } from './era-tracker.ts';

describe('eras of the store', () => {
  const cases = [
    { name: 'does not report the first one', eras: [3, 3], reported: [], current: 3 },
    { name: 'reports each later one once', eras: [3, 4, 4, 6], reported: [4, 6], current: 6 },
    // Guards against an answer that was under way when the store came back.
    { name: 'ignores an older one', eras: [3, 4, 3], reported: [4], current: 4 },
    {
      name: 'ignores answers without one',
      eras: [undefined, 0, undefined],
      reported: [],
      current: 0,
    },
  ];
  for (const { name, eras, reported, current } of cases) {
    it(name, () => {
      const tracker = createEraTracker(createLogger('test'));
      const seen: number[] = [];
      tracker.subscribe((era) => seen.push(era));
      eras.forEach(tracker.observe);
      expect(seen).toEqual(reported);
      expect(tracker.getEra()).toEqual(current);
    });
  }
});
