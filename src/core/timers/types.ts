/** Cancels a subscription; calling it again has no effect. */
export type Unsubscribe = () => void;

/** The only source of time in the system, so that tests can replace it. */
export interface TimerService {
  /** Returns the time of a monotonic clock in milliseconds since an arbitrary origin. */
  getMonotonicMs(): number;
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  getWallMs(): number;
  /** Calls the listener once, as soon as the monotonic clock has advanced by the delay. */
  scheduleOnce(delayMs: number, listener: () => void): Unsubscribe;
  /** Calls the listener at a fixed interval until cancelled. */
  subscribe(periodMs: number, listener: () => void): Unsubscribe;
  /** Resolves after the delay, or as soon as the signal aborts. */
  waitFor(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** A timer service whose clock advances only when a test advances it. */
export interface ManualTimers extends TimerService {
  /** Advances the clock and runs due listeners in order of their due time. */
  runFor(durationMs: number): void;
  /** Advances the clock in steps and yields to the event loop after each step. */
  runForAsync(durationMs: number, stepMs?: number): Promise<void>;
}
