import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { createFleetClock } from './fleet-clock.ts';

describe('clock of the fleet', () => {
  const cases = [
    { name: 'follows a gateway that is ahead', observedMs: 50_000, expectedMs: 50_000 },
    { name: 'does not go back', observedMs: 3, expectedMs: 1_000 },
    // Guards against one wrong figure that makes the times of all gateways useless.
    { name: 'ignores a time that is out of range', observedMs: 2 ** 63, expectedMs: 1_000 },
    { name: 'ignores a time that is not a number', observedMs: NaN, expectedMs: 1_000 },
  ];
  for (const { name, observedMs, expectedMs } of cases) {
    it(name, () => {
      const timers = createManualTimers();
      const clock = createFleetClock(timers);
      timers.runFor(1_000);
      clock.observeFleetMs(observedMs);
      expect(clock.getFleetMs()).toEqual(expectedMs);
      timers.runFor(10);
      expect(clock.getFleetMs()).toEqual(expectedMs + 10);
    });
  }
});
