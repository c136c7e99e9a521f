import { formatProblem } from '../core/errors/index.ts';
import type { TimerService } from '../core/timers/index.ts';

const RETRY_MS = 50;

/**
 * Repeats a check every 50 ms until it returns a value. A check that throws is repeated too. After
 * `deadlineMs` milliseconds, throws an error that contains the message of the last exception.
 */
export async function waitUntil<Value>(
  description: string,
  timers: TimerService,
  deadlineMs: number,
  check: () => Promise<Value | undefined>,
): Promise<Value> {
  const endMs = timers.getMonotonicMs() + deadlineMs;
  let lastError = 'the check returned no value';
  while (timers.getMonotonicMs() < endMs) {
    try {
      const value = await check();
      if (value !== undefined) return value;
    } catch (error) {
      lastError = formatProblem(error);
    }
    await timers.waitFor(RETRY_MS);
  }
  throw new Error(`timed out: ${description} (limit ${deadlineMs} ms): ${lastError}`);
}
