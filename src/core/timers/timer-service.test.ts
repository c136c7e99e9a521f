/* eslint-disable no-restricted-globals -- Keeps the event loop turning while the timers run. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from './index.ts';

const TRIES = 20;
/** Spreads the calls over the phases of a millisecond. */
const PHASE_STEP_MS = 0.05;

interface Case {
  title: string;
  /** Time that the turn of the event loop takes before the listener is scheduled. */
  busyMs: number;
  delayMs: number;
}

const cases: Case[] = [
  { title: 'a whole number of milliseconds', busyMs: 0, delayMs: 10 },
  { title: 'a fraction of a millisecond', busyMs: 0, delayMs: 5.9 },
  { title: 'a delay that begins late in a turn of the event loop', busyMs: 3, delayMs: 10 },
  { title: 'no time', busyMs: 3, delayMs: 0 },
];

/** Keeps the event loop turning, as the sockets of a busy process do, until the work is done. */
async function runBusy<Result>(work: () => Promise<Result>): Promise<Result> {
  let isDone = false;
  const turn = (): void => {
    if (!isDone) setImmediate(turn);
  };
  turn();
  try {
    return await work();
  } finally {
    isDone = true;
  }
}

describe('createTimerService', () => {
  for (const { title, busyMs, delayMs } of cases) {
    // Guards against a timer that fires before it is due: a listener that compares the clock with the
    // due time then returns without effect, and nothing calls it again.
    it(`never calls a listener early after ${title}`, async () => {
      const timers = createTimerService();
      const earliestMs = await runBusy(async () => {
        let smallestMs = Infinity;
        for (let index = 0; index < TRIES; index++) {
          const startMs = timers.getMonotonicMs();
          while (timers.getMonotonicMs() - startMs < busyMs + index * PHASE_STEP_MS);
          const dueMs = timers.getMonotonicMs() + delayMs;
          await timers.waitFor(delayMs);
          smallestMs = Math.min(smallestMs, timers.getMonotonicMs() - dueMs);
        }
        return smallestMs;
      });
      expect(earliestMs >= 0).toEqual(true);
    });
  }

  it('does not call a cancelled listener', async () => {
    const timers = createTimerService();
    let calls = 0;
    const cancel = timers.scheduleOnce(5, () => {
      calls++;
    });
    cancel();
    await timers.waitFor(20);
    expect(calls).toEqual(0);
  });
});
