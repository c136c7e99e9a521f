import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { PAUSE_CHECK_MS, PAUSE_GAP_MS, PAUSE_SETTLE_MS } from './consts.ts';

/** Notices that this process did not run for a while. */
export interface PauseDetector {
  /** True while messages may be handled that waited during a pause. */
  isPausedRecently(): boolean;
  stop: Unsubscribe;
}

/** Creates the detector; a late timer shows the pause. */
export function createPauseDetector(timers: TimerService): PauseDetector {
  let checkedMs = timers.getMonotonicMs();
  let pausedUntilMs = -Infinity;
  const check = (): void => {
    const nowMs = timers.getMonotonicMs();
    if (nowMs - checkedMs > PAUSE_GAP_MS) pausedUntilMs = nowMs + PAUSE_SETTLE_MS;
    checkedMs = nowMs;
  };
  const stop = timers.subscribe(PAUSE_CHECK_MS, check);
  return {
    isPausedRecently() {
      check();
      return timers.getMonotonicMs() < pausedUntilMs;
    },
    stop,
  };
}
