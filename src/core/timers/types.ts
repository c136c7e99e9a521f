/** Cancels a subscription; calling it again has no effect. */
export type Unsubscribe = () => void;

/** The only source of time in the system, so that tests can control it. */
export interface TimerService {
  /** Returns milliseconds of a monotonic clock with an arbitrary origin. */
  getMonotonicMs(): number;
  /** Returns milliseconds of the wall clock since the Unix epoch. */
  getWallMs(): number;
  /** Calls the listener once after the delay. */
  scheduleOnce(delayMs: number, listener: () => void): Unsubscribe;
  /** Calls the listener at a fixed period until cancelled. */
  subscribe(periodMs: number, listener: () => void): Unsubscribe;
  /** Resolves after the delay, or as soon as the signal aborts. */
  waitFor(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** A timer service whose clock moves only when a test moves it. */
export interface ManualTimers extends TimerService {
  /** Moves the clock and runs due listeners in order of their due time. */
  runFor(durationMs: number): void;
  /** Moves the clock in steps and lets promise callbacks run after each step. */
  runForAsync(durationMs: number, stepMs?: number): Promise<void>;
}
