import type { TimerService } from '../timers/index.ts';
import type { HybridClock, HybridTime } from './types.ts';

/** Compares two times; returns a negative number if the first one is earlier. */
export function compareTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}

/** Creates a hybrid logical clock that is based on the wall clock of the timer service. */
export function createClock(timers: Pick<TimerService, 'getWallMs'>): HybridClock {
  let latest: HybridTime = { wallMs: 0, counter: 0 };
  return {
    tick() {
      const wallMs = Math.floor(timers.getWallMs());
      latest =
        wallMs > latest.wallMs
          ? { wallMs, counter: 0 }
          : { wallMs: latest.wallMs, counter: latest.counter + 1 };
      return latest;
    },
    observeRemoteTime(time) {
      if (compareTimes(time, latest) > 0) latest = { wallMs: time.wallMs, counter: time.counter };
    },
  };
}
