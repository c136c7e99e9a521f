import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { PAUSE_CHECK_MS, PAUSE_GAP_MS, PAUSE_SETTLE_MS } from './consts.ts';

/** Detects that this process did not run for a while. */
export interface PauseDetector {
  /** Returns whether received messages may have been buffered during a pause. */
  wasPausedRecently(): boolean;
  stop: Unsubscribe;
}

/** Creates the detector, which recognizes a pause by a late timer. */
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
    wasPausedRecently() {
      check();
      return timers.getMonotonicMs() < pausedUntilMs;
    },
    stop,
  };
}
