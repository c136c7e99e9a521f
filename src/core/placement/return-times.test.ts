import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createReturnTimes } from './return-times.ts';

const INPUT = {
  nowMs: 1_000,
  lineMs: 200,
  slotEveryMs: 50,
  durationMs: 500,
  maxMs: 2_000,
  random: 0,
};

describe('times to return', () => {
  const cases = [
    { name: 'after a request has been processed', input: INPUT, returnMs: 500 },
    { name: 'after the line', input: { ...INPUT, lineMs: 800 }, returnMs: 800 },
    { name: 'within what the caller waits', input: { ...INPUT, maxMs: 300 }, returnMs: 300 },
    {
      name: 'at a random time in front of a line without end',
      input: { ...INPUT, lineMs: Infinity, random: 1 },
      returnMs: 550,
    },
    { name: 'for a caller that can not wait', input: { ...INPUT, maxMs: 0 }, returnMs: 0 },
  ];
  for (const { name, input, returnMs } of cases) {
    it(`are ${name}`, () => {
      expect(createReturnTimes().assignReturnMs('k', input)).toEqual(returnMs);
    });
  }

  // Guards against callers who all return to the same slots, and are refused again.
  it('are spread over the slots that become free', () => {
    const returns = createReturnTimes();
    const times = Array.from({ length: 31 }, () => returns.assignReturnMs('k', INPUT));
    expect(times.slice(0, 3)).toEqual([500, 550, 600]);
    expect(times.at(-1)).toEqual(2_000);
    expect(returns.assignReturnMs('other', INPUT)).toEqual(500);
  });

  it('are spread at random once there are more callers than slots', () => {
    const returns = createReturnTimes();
    for (let index = 0; index < 31; index++) returns.assignReturnMs('k', INPUT);
    const random = [0, 0.5, 1].map((one) => returns.assignReturnMs('k', { ...INPUT, random: one }));
    expect(random).toEqual([500, 1_250, 2_000]);
  });
});
