import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Dependencies of `logReadiness`. */
export interface ReadinessLogOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  logger: Logger;
  /** Returns the names of what a starting gateway still lacks; empty once it is ready. */
  listMissing(): string[];
  /** Ends the log, as the gateway is to stop. */
  abortSignal: AbortSignal;
}

const POLL_MS = 50;
const REPORT_MS = 5_000;

/** Logs once that a gateway is ready, and until then what it waits for. */
export async function logReadiness(options: ReadinessLogOptions): Promise<void> {
  const { timers, logger, listMissing, abortSignal } = options;
  const startMs = timers.getMonotonicMs();
  const getWaitedMs = (): number => Math.round(timers.getMonotonicMs() - startMs);
  let reportMs = startMs + REPORT_MS;
  while (!abortSignal.aborted) {
    const missing = listMissing();
    if (missing.length === 0) {
      logger.info('ready', { waitedMs: getWaitedMs() });
      return;
    }
    if (timers.getMonotonicMs() >= reportMs) {
      logger.warn('not ready yet', { missing: missing.join(' '), waitedMs: getWaitedMs() });
      reportMs += REPORT_MS;
    }

    await timers.waitFor(POLL_MS, abortSignal);
  }
}
