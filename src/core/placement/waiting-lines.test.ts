import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { createManualTimers } from '../timers/index.ts';
import { createWaitingLines } from './waiting-lines.ts';

const KEY = 's/m';

/** Counts how often the properties by which requests are compared are read. */
function measureComparisons(waiting: number): number {
  const timers = createManualTimers();
  const lines = createWaitingLines(timers);
  let reads = 0;
  const add = (index: number) =>
    lines.add(KEY, {
      get priority() {
        reads++;
        return index % 3;
      },
      giveUpMs: 1_000_000 + ((index * 7_919) % waiting),
      tryStart: () => false,
      giveUp: () => undefined,
    });
  const removals = Array.from({ length: waiting }, (_, index) => add(index));
  removals.forEach((remove) => remove());
  expect(lines.countWaiting()).toEqual(0);
  return reads;
}

describe('long waiting lines', () => {
  for (const waiting of [1_000, 5_000]) {
    // Guards against a line whose upkeep takes the processor when thousands of requests wait.
    it(`compare a request with a few others only, with ${waiting} of them`, () => {
      const perRequest = measureComparisons(waiting) / waiting;
      expect(perRequest < 10 * Math.log2(waiting)).toEqual(true);
    });
  }

  it('keep the order of a sorted list, with any additions and removals', () => {
    const request = fc.record({
      priority: fc.nat({ max: 2 }),
      giveUpMs: fc.nat({ max: 5 }),
      isYielding: fc.boolean(),
      isRemoved: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(request, { maxLength: 30 }), (requests) => {
        const lines = createWaitingLines(createManualTimers());
        const started: number[] = [];
        const removals = requests.map(({ priority, giveUpMs, isYielding }, index) =>
          lines.add(KEY, {
            priority,
            giveUpMs,
            isYielding,
            tryStart: () => started.push(index) > 0,
            giveUp: () => undefined,
          }),
        );
        requests.forEach(({ isRemoved }, index) => {
          if (isRemoved) removals[index]?.();
        });
        const expected = requests
          .map((one, index) => ({ ...one, index }))
          .filter(({ isRemoved }) => !isRemoved)
          .sort(
            (left, right) =>
              left.priority - right.priority ||
              Number(left.isYielding) - Number(right.isYielding) ||
              left.giveUpMs - right.giveUpMs,
          );
        const middle = { priority: 1, giveUpMs: 3 };
        const ahead = expected.filter(
          ({ priority, giveUpMs, isYielding }) =>
            priority < 1 || (priority === 1 && !isYielding && giveUpMs <= 3),
        );
        expect(lines.countAhead(KEY, middle)).toEqual(ahead.length);
        lines.serve(KEY);
        expect(started).toEqual(expected.map(({ index }) => index));
        expect(lines.countWaiting()).toEqual(0);
      }),
    );
  });
});
