import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { DutyHolder } from './types.ts';

/** Dependencies and settings of the holder. */
export interface HolderWatchOptions {
  vmName: string;
  /** Time for which a new holder makes no call. */
  leaseMs: number;
  timers: Pick<TimerService, 'getMonotonicMs'>;
  logger: Logger;
  /** Returns the term in which this process is the leader now; 0 if it is not. */
  getTerm(): number;
}

/** Tells whether this process holds the duties. */
export interface HolderWatch {
  /**
   * Returns the holder of all duties if it is this process and it may make calls now. To be asked
   * right before each call, and often enough to notice a new term.
   */
  getHolder(): DutyHolder | undefined;
  /** Returns for how long this process has held the duties, in ms; undefined if it does not. */
  getHeldMs(): number | undefined;
}

/**
 * Watches the lease of the leader, who holds all duties; its term is the fencing token. A new leader
 * first waits, so that the calls of the last one have ended, and holders that alternate stay apart.
 */
export function createHolderWatch(options: HolderWatchOptions): HolderWatch {
  const { vmName, leaseMs, timers, logger, getTerm } = options;
  let term = 0;
  let sinceMs = 0;
  let hasWaited = false;

  const observe = (): number => {
    const current = getTerm();
    if (current > 0 && current !== term) {
      term = current;
      sinceMs = timers.getMonotonicMs();
      hasWaited = false;
    }
    return current;
  };

  return {
    getHolder() {
      const current = observe();
      if (current === 0 || timers.getMonotonicMs() - sinceMs < leaseMs) return undefined;
      if (!hasWaited) logger.info('holds the duties', { token: term });
      hasWaited = true;
      return { vmName, token: term };
    },
    getHeldMs: () => (observe() === 0 ? undefined : timers.getMonotonicMs() - sinceMs),
  };
}
