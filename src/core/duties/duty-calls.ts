import type { TimerService } from '../timers/index.ts';
import type { DutyCalls, DutyHolder } from './types.ts';
import { DutyCallResult } from './types.ts';

/** Dependencies and settings of paced calls. */
export interface PacedCallsOptions {
  calls: DutyCalls;
  /** Calls a second that the platform takes from all gateways together. */
  callsPerSecond: number;
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  /** Returns the holder if it is this process and it may make calls now. */
  getHolder(): DutyHolder | undefined;
}

const MS_PER_SECOND = 1_000;
/** Share of the calls that this process uses; the last holder may have used the other half. */
const RATE_SHARE = 0.5;
/** Sends of one call before its result is handed back. */
const MAX_SENDS = 3;
/** Pause before a call is sent again. */
const RETRY_PAUSE_MS = 250;

const RETRIED_RESULTS: ReadonlySet<DutyCallResult> = new Set([
  DutyCallResult.RateLimited,
  DutyCallResult.OutcomeUnknown,
]);

/**
 * Wraps calls so that they are made one after the other, in the order in which they were asked for,
 * and below the platform's rate. A call is sent only while its holder is the holder.
 */
export function createPacedCalls(options: PacedCallsOptions): DutyCalls {
  const { calls, callsPerSecond, timers, getHolder } = options;
  const gapMs = MS_PER_SECOND / (callsPerSecond * RATE_SHARE);
  let line: Promise<unknown> = Promise.resolve();
  let nextSendMs = -Infinity;

  const sendOnce = async (
    holder: DutyHolder,
    send: () => Promise<DutyCallResult>,
  ): Promise<DutyCallResult> => {
    const delayMs = nextSendMs - timers.getMonotonicMs();
    if (delayMs > 0) await timers.waitFor(delayMs);
    const current = getHolder();
    if (current?.token !== holder.token) return DutyCallResult.NotHolder;
    nextSendMs = timers.getMonotonicMs() + gapMs;
    return send();
  };

  const sendRepeatedly = async (
    holder: DutyHolder,
    send: () => Promise<DutyCallResult>,
  ): Promise<DutyCallResult> => {
    for (let sends = 1; ; sends++) {
      const result = await sendOnce(holder, send);
      if (!RETRIED_RESULTS.has(result) || sends >= MAX_SENDS) return result;
      await timers.waitFor(RETRY_PAUSE_MS);
    }
  };

  const enqueue = (
    holder: DutyHolder,
    send: () => Promise<DutyCallResult>,
  ): Promise<DutyCallResult> => {
    const result = line.then(() => sendRepeatedly(holder, send));
    // A call that throws ends only itself; its caller gets the error.
    line = result.catch(() => undefined);
    return result;
  };

  return {
    reportUsage: (holder, report) => enqueue(holder, () => calls.reportUsage(holder, report)),
    orderTargetCount: (holder, order) =>
      enqueue(holder, () => calls.orderTargetCount(holder, order)),
    close: () => calls.close(),
  };
}
