/* The only module that uses the system clocks and timers; all others use the timer service. */
/* eslint-disable no-restricted-globals, no-restricted-properties */
import type { TimerService } from './types.ts';
import { createWaitFor } from './wait.ts';

/** Called with an error that a listener of a timer has thrown. */
export type TimerErrorHandler = (error: unknown) => void;

/**
 * Creates a timer service that uses the system clocks and timers. Without `handleError`, an error
 * that a listener throws ends the process.
 */
export function createTimerService(handleError?: TimerErrorHandler): TimerService {
  const wrapListener = (listener: () => void): (() => void) => {
    if (handleError === undefined) return listener;
    return () => {
      try {
        listener();
      } catch (error) {
        handleError(error);
      }
    };
  };
  const scheduleOnce: TimerService['scheduleOnce'] = (delayMs, listener) => {
    const dueMs = performance.now() + Math.max(0, delayMs);
    const callListener = wrapListener(listener);
    let timer: NodeJS.Timeout;
    // Node.js counts in whole milliseconds, so that its timers fire up to 1 ms early.
    const runWhenDue = (): void => {
      const remainingMs = dueMs - performance.now();
      if (remainingMs > 0) timer = setTimeout(runWhenDue, remainingMs);
      else callListener();
    };
    timer = setTimeout(runWhenDue, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  };
  return {
    getMonotonicMs: () => performance.now(),
    getWallMs: () => Date.now(),
    scheduleOnce,
    subscribe(periodMs, listener) {
      const timer = setInterval(wrapListener(listener), periodMs);
      return () => clearInterval(timer);
    },
    waitFor: createWaitFor(scheduleOnce),
  };
}
