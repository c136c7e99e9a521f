import type { Target } from '../fleet/index.ts';
import type { TimerService } from '../timers/index.ts';
import { SEND_WINDOW_MS } from './consts.ts';
import { createSendCounter } from './send-counter.ts';
import type { LimitReport, TargetAdvice } from './types.ts';

/** Dependencies of the advisories. */
export interface AdvisoriesOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>;
  /** Called when a limit is stated first, changes or ends, and at intervals while it holds. */
  handleLimit(report: LimitReport): void;
}

/** What targets have said of themselves in their responses. */
export interface Advisories {
  recordSend(targetId: string, isRetry: boolean): void;
  /** Records the advice of a response. */
  recordAdvice(target: Pick<Target, 'id'>, advice: TargetAdvice): void;
}

/** Creates advisories without any statement. */
export function createAdvisories(options: AdvisoriesOptions): Advisories {
  const { timers, handleLimit } = options;
  const counter = createSendCounter(timers);
  /** Targets with a limit, with the limit and when it was last reported. */
  const limits = new Map<string, { requestsPerSecond: number; reportedMs: number }>();

  const report = (targetId: string, requestsPerSecond: number | undefined): void => {
    handleLimit({ targetId, requestsPerSecond, ...counter.countRecent(targetId) });
  };

  return {
    recordSend: counter.recordSend,
    recordAdvice({ id }, { requestsPerSecond, isLimitUnreadable }) {
      if (isLimitUnreadable) return;
      const known = limits.get(id);
      if (requestsPerSecond === undefined) {
        if (limits.delete(id)) report(id, undefined);
        return;
      }
      const now = timers.getMonotonicMs();
      const isDue = known === undefined || now - known.reportedMs >= SEND_WINDOW_MS;
      const reportedMs = isDue ? now : known.reportedMs;
      limits.set(id, { requestsPerSecond, reportedMs });
      if (isDue) report(id, requestsPerSecond);
    },
  };
}
