import type { LogContext, Logger } from '../logs/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { BYTES_PER_MB } from './consts.ts';
import type { MemoryUsage } from './types.ts';

/** Dependencies of the memory monitor. */
export interface MemoryMonitorOptions {
  timers: Pick<TimerService, 'subscribe' | 'getMonotonicMs'>;
  logger: Pick<Logger, 'warn' | 'info'>;
  /** Memory of the VM; the process is killed above it. */
  limitBytes: number;
  measure(): MemoryUsage;
  /** Returns what the process holds, as fields of the log line. */
  getHeldCounts(): LogContext;
}

/** Interval at which the memory is measured. */
export const MEASURE_PERIOD_MS = 250;
/** Shares of the limits above which memory is short, and below which it is not any more. */
export const SHORT_SHARE = 0.8;
const RECOVERED_SHARE = 0.7;
/** Interval at which the line is repeated while memory is short. */
export const REPEAT_MS = 2_000;

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}

/**
 * Logs when the process comes near its memory limit or the limit of its heap, with what it holds: a
 * process that is killed cannot write a last line.
 */
export function startMemoryMonitor(options: MemoryMonitorOptions): Unsubscribe {
  const { timers, logger, limitBytes, measure, getHeldCounts } = options;
  let loggedMs: number | undefined;
  return timers.subscribe(MEASURE_PERIOD_MS, () => {
    const usage = measure();
    const share = Math.max(
      usage.residentBytes / limitBytes,
      usage.heapBytes / usage.heapLimitBytes,
    );
    const now = timers.getMonotonicMs();
    const fields = {
      residentMb: toMb(usage.residentBytes),
      limitMb: toMb(limitBytes),
      heapMb: toMb(usage.heapBytes),
      heapLimitMb: toMb(usage.heapLimitBytes),
      externalMb: toMb(usage.externalBytes),
      ...getHeldCounts(),
    };
    if (share >= SHORT_SHARE) {
      if (loggedMs !== undefined && now - loggedMs < REPEAT_MS) return;
      loggedMs = now;
      logger.warn('memory is short', fields);
    } else if (share < RECOVERED_SHARE && loggedMs !== undefined) {
      loggedMs = undefined;
      logger.info('memory is not short any more', fields);
    }
  });
}
