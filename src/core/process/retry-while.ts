import type { TimerService } from '../timers/index.ts';

/** What an attempt may fail of for a while, and how long it is repeated. */
export interface RetryOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  /** Ends the wait, as the process is to stop. */
  abortSignal?: AbortSignal | undefined;
  /**
   * Returns for how long the attempt is repeated after an error, in milliseconds; with 0, the error is
   * thrown at once.
   */
  getLimitMs(error: unknown): number;
  pauseMs: number;
  /** Called with the first failure, and with one each `REPORT_MS` while the wait goes on. */
  handleFailure(error: unknown, waitedMs: number): void;
  /** Called when an attempt succeeds after a failure. */
  handleSuccess(waitedMs: number): void;
}

const REPORT_MS = 5_000;

/** Repeats an attempt while it fails with a transient error; throws the last error otherwise. */
export async function retryWhileTransient<Value>(
  attempt: () => Value | Promise<Value>,
  options: RetryOptions,
): Promise<Value> {
  const { timers, abortSignal } = options;
  const startMs = timers.getMonotonicMs();
  let reportMs = startMs;
  for (let tries = 1; ; tries++) {
    try {
      const value = await attempt();
      if (tries > 1) options.handleSuccess(timers.getMonotonicMs() - startMs);
      return value;
    } catch (error) {
      const now = timers.getMonotonicMs();
      const isOver = now - startMs >= options.getLimitMs(error);
      if (isOver || abortSignal?.aborted === true) throw error;
      if (now >= reportMs) {
        options.handleFailure(error, now - startMs);
        reportMs = now + REPORT_MS;
      }
    }
    await timers.waitFor(options.pauseMs, abortSignal);
  }
}
