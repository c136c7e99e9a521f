import { formatProblem } from '../core/errors/index.ts';
import type { TimerService } from '../core/timers/index.ts';

const RETRY_MS = 50;

/**
 * Repeats a check until it returns a value; a check that throws is repeated too. Fails with the last
 * problem after the deadline.
 */
export async function waitUntil<Value>(
  what: string,
  timers: TimerService,
  deadlineMs: number,
  check: () => Promise<Value | undefined>,
): Promise<Value> {
  const endMs = timers.getMonotonicMs() + deadlineMs;
  let problem = 'the condition did not hold';
  while (timers.getMonotonicMs() < endMs) {
    try {
      const value = await check();
      if (value !== undefined) return value;
    } catch (error) {
      problem = formatProblem(error);
    }
    await timers.waitFor(RETRY_MS);
  }
  throw new Error(`${what} did not happen within ${deadlineMs} ms: ${problem}`);
}
