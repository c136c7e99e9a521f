import type { ManualTimers, TimerService } from './types.ts';
import { createWaitFor } from './wait.ts';

/** Default wall-clock time at which a manual clock starts: 2026-01-01T00:00:00Z. */
const DEFAULT_WALL_START_MS = 1_767_225_600_000;
const DEFAULT_STEP_MS = 10;

interface ScheduledCall {
  dueMs: number;
  /** Order of calls that are due at the same time. */
  sequence: number;
  /** Undefined for a call that runs only once. */
  periodMs?: number;
  listener: () => void;
}

/** Yields to the event loop, so that callbacks of settled promises and of I/O run. */
function waitForEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    // eslint-disable-next-line no-restricted-globals -- Only yields; does not depend on time.
    setImmediate(resolve);
  });
}

/** Creates a timer service for tests whose clock advances only in `runFor` and `runForAsync`. */
export function createManualTimers(wallStartMs = DEFAULT_WALL_START_MS): ManualTimers {
  const scheduledCalls = new Set<ScheduledCall>();
  let nowMs = 0;
  let nextSequence = 0;

  const addCall = (delayMs: number, listener: () => void, periodMs?: number): (() => void) => {
    const call: ScheduledCall = {
      dueMs: nowMs + Math.max(0, delayMs),
      sequence: nextSequence++,
      listener,
    };
    if (periodMs !== undefined) call.periodMs = periodMs;
    scheduledCalls.add(call);
    return () => {
      scheduledCalls.delete(call);
    };
  };

  const findNextDue = (limitMs: number): ScheduledCall | undefined => {
    let next: ScheduledCall | undefined;
    for (const call of scheduledCalls) {
      const isDue = call.dueMs <= limitMs;
      const isEarlier =
        next === undefined ||
        call.dueMs < next.dueMs ||
        (call.dueMs === next.dueMs && call.sequence < next.sequence);
      if (isDue && isEarlier) next = call;
    }
    return next;
  };

  const runCall = (call: ScheduledCall): void => {
    nowMs = Math.max(nowMs, call.dueMs);
    if (call.periodMs === undefined) {
      scheduledCalls.delete(call);
    } else {
      call.dueMs += call.periodMs;
      call.sequence = nextSequence++;
    }
    call.listener();
  };

  const runFor = (durationMs: number): void => {
    const endMs = nowMs + durationMs;
    for (let next = findNextDue(endMs); next !== undefined; next = findNextDue(endMs)) {
      runCall(next);
    }
    nowMs = endMs;
  };

  const scheduleOnce: TimerService['scheduleOnce'] = (delayMs, listener) =>
    addCall(delayMs, listener);

  return {
    getMonotonicMs: () => nowMs,
    getWallMs: () => wallStartMs + nowMs,
    scheduleOnce,
    subscribe: (periodMs, listener) => addCall(periodMs, listener, periodMs),
    waitFor: createWaitFor(scheduleOnce),
    runFor,
    async runForAsync(durationMs, stepMs = DEFAULT_STEP_MS) {
      const endMs = nowMs + durationMs;
      await waitForEventLoop();
      while (nowMs < endMs) {
        runFor(Math.min(stepMs, endMs - nowMs));
        await waitForEventLoop();
      }
    },
  };
}
