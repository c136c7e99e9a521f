import type { ManualTimers, TimerService } from './types.ts';
import { createWaitFor } from './wait.ts';

/** Default wall-clock time at which a manual clock starts: 2026-01-01T00:00:00Z. */
const DEFAULT_WALL_START_MS = 1_767_225_600_000;
const DEFAULT_STEP_MS = 10;

interface Entry {
  dueMs: number;
  order: number;
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
  const entries = new Set<Entry>();
  let nowMs = 0;
  let order = 0;

  const addEntry = (delayMs: number, listener: () => void, periodMs?: number): (() => void) => {
    const entry: Entry = { dueMs: nowMs + Math.max(0, delayMs), order: order++, listener };
    if (periodMs !== undefined) entry.periodMs = periodMs;
    entries.add(entry);
    return () => {
      entries.delete(entry);
    };
  };

  const findNextDue = (limitMs: number): Entry | undefined => {
    let next: Entry | undefined;
    for (const entry of entries) {
      const isDue = entry.dueMs <= limitMs;
      const isEarlier =
        next === undefined ||
        entry.dueMs < next.dueMs ||
        (entry.dueMs === next.dueMs && entry.order < next.order);
      if (isDue && isEarlier) next = entry;
    }
    return next;
  };

  const runEntry = (entry: Entry): void => {
    nowMs = Math.max(nowMs, entry.dueMs);
    if (entry.periodMs === undefined) {
      entries.delete(entry);
    } else {
      entry.dueMs += entry.periodMs;
      entry.order = order++;
    }
    entry.listener();
  };

  const runFor = (durationMs: number): void => {
    const endMs = nowMs + durationMs;
    for (let next = findNextDue(endMs); next !== undefined; next = findNextDue(endMs)) {
      runEntry(next);
    }
    nowMs = endMs;
  };

  const scheduleOnce: TimerService['scheduleOnce'] = (delayMs, listener) =>
    addEntry(delayMs, listener);

  return {
    getMonotonicMs: () => nowMs,
    getWallMs: () => wallStartMs + nowMs,
    scheduleOnce,
    subscribe: (periodMs, listener) => addEntry(periodMs, listener, periodMs),
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
