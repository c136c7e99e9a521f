import type { TimerService } from '../timers/index.ts';

/** What an attempt may fail of for a while, and how long it is repeated. */
export interface RetryOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  /** Ends the wait, as the process is to stop. */
  abortSignal?: AbortSignal | undefined;
  /** Whether the error is transient; any other one is thrown at once. */
  isTransient(error: unknown): boolean;
  pauseMs: number;
  limitMs: number;
  handleFirstFailure(error: unknown): void;
}

/** Repeats an attempt while it fails with a transient error; throws the last error otherwise. */
export async function retryWhileTransient<Value>(
  attempt: () => Value | Promise<Value>,
  options: RetryOptions,
): Promise<Value> {
  const { timers, abortSignal } = options;
  const startMs = timers.getMonotonicMs();
  for (let tries = 1; ; tries++) {
    try {
      return await attempt();
    } catch (error) {
      const isOver = timers.getMonotonicMs() - startMs >= options.limitMs;
      if (!options.isTransient(error) || isOver || abortSignal?.aborted === true) throw error;
      if (tries === 1) options.handleFirstFailure(error);
    }
    await timers.waitFor(options.pauseMs, abortSignal);
  }
}
