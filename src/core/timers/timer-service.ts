/* The only module that uses the system clocks and timers; all others use the timer service. */
/* eslint-disable no-restricted-globals, no-restricted-properties */
import type { TimerService } from './types.ts';
import { createWaitFor } from './wait.ts';

/** Creates a timer service that uses the system clocks and timers. */
export function createTimerService(): TimerService {
  const scheduleOnce: TimerService['scheduleOnce'] = (delayMs, listener) => {
    const timer = setTimeout(listener, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  };
  return {
    getMonotonicMs: () => performance.now(),
    getWallMs: () => Date.now(),
    scheduleOnce,
    subscribe(periodMs, listener) {
      const timer = setInterval(listener, periodMs);
      return () => clearInterval(timer);
    },
    waitFor: createWaitFor(scheduleOnce),
  };
}
