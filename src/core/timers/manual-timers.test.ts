import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from './index.ts';

interface Case {
  title: string;
  schedule: (timers: ReturnType<typeof createManualTimers>, log: string[]) => void;
  runMs: number;
  expected: string[];
}

// Guards against listeners that run out of order, which would make golden-file tests unstable.
const cases: Case[] = [
  {
    title: 'runs listeners in order of their due time',
    schedule: (timers, log) => {
      timers.scheduleOnce(20, () => log.push('b'));
      timers.scheduleOnce(10, () => log.push('a'));
    },
    runMs: 30,
    expected: ['a', 'b'],
  },
  {
    title: 'runs listeners with the same due time in order of subscription',
    schedule: (timers, log) => {
      timers.scheduleOnce(10, () => log.push('first'));
      timers.scheduleOnce(10, () => log.push('second'));
    },
    runMs: 10,
    expected: ['first', 'second'],
  },
  {
    title: 'repeats a subscription until it is cancelled',
    schedule: (timers, log) => {
      const cancel = timers.subscribe(10, () => log.push('tick'));
      timers.scheduleOnce(25, cancel);
    },
    runMs: 60,
    expected: ['tick', 'tick'],
  },
  {
    title: 'runs listeners that a listener scheduled',
    schedule: (timers, log) => {
      timers.scheduleOnce(5, () => timers.scheduleOnce(5, () => log.push('nested')));
    },
    runMs: 10,
    expected: ['nested'],
  },
  {
    title: 'does not run listeners before their due time',
    schedule: (timers, log) => {
      timers.scheduleOnce(11, () => log.push('late'));
    },
    runMs: 10,
    expected: [],
  },
];

describe('createManualTimers', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      const timers = createManualTimers();
      const log: string[] = [];
      testCase.schedule(timers, log);
      timers.runFor(testCase.runMs);
      expect(log).toEqual(testCase.expected);
    });
  }
});
