import type {
  CallerRequest,
  FailureReason,
  RoutedRequest,
  ForwardingResult,
} from '../forwarding/index.ts';
import { Outcome } from '../forwarding/index.ts';
import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';

/**
 * Logs refused, retried, late and failed requests, and counts every request in the metrics. The log
 * field `request` holds the id of the caller's request attempt; a retry by the caller has a new id.
 */
export interface RequestLog {
  recordRefusal(
    request: CallerRequest,
    status: number,
    outcome: Outcome,
    reason: FailureReason,
    configurationVersion: number | undefined,
  ): void;
  /** Records that the gateway sends a request again, to the given target. */
  recordRetry(input: RoutedRequest, targetId: string, reason: string): void;
  recordResult(input: RoutedRequest, result: ForwardingResult): void;
}

/** Maximum lines per second; further lines are only counted. */
const MAX_LINES_PER_SECOND = 60;
const MS_PER_SECOND = 1_000;

/** Tells whether a response missed the latency objective or had too long a gap between events. */
function isLate({ route }: RoutedRequest, result: ForwardingResult): boolean {
  const { gapObjectiveMs, latencyObjectiveMs } = route;
  if ((result.firstByteMs ?? 0) > latencyObjectiveMs) return true;
  return gapObjectiveMs !== undefined && result.longestGapMs > gapObjectiveMs;
}

/** Creates the request log. */
export function createRequestLog(
  logger: Logger,
  timers: Pick<TimerService, 'getMonotonicMs'>,
  metrics: Pick<GatewayMetrics, 'countRequest' | 'countRetry' | 'recordLatency'>,
): RequestLog {
  let windowSecond = 0;
  let lineCount = 0;
  let omitted = 0;

  const reserveLine = (): boolean => {
    const current = Math.floor(timers.getMonotonicMs() / MS_PER_SECOND);
    if (current !== windowSecond) {
      if (omitted > 0) logger.warn('lines were left out', { omitted });
      windowSecond = current;
      lineCount = 0;
      omitted = 0;
    }
    lineCount++;
    if (lineCount > MAX_LINES_PER_SECOND) omitted++;
    return lineCount <= MAX_LINES_PER_SECOND;
  };

  return {
    recordRefusal(request, status, outcome, reason, configurationVersion) {
      metrics.countRequest(outcome, 'none', reason);
      if (!reserveLine()) return;
      logger.info('refused a request', {
        request: request.callerAttemptId ?? '',
        status,
        reason,
        configuration: configurationVersion ?? 0,
      });
    },
    recordRetry(input, targetId, reason) {
      metrics.countRetry(input.route.kind, reason);
      if (!reserveLine()) return;
      logger.info('sent a request again', {
        request: input.request.callerAttemptId ?? '',
        target: targetId,
        reason,
        sinceMs: Math.round(timers.getMonotonicMs() - input.arrivedMs),
      });
    },
    recordResult(input, result) {
      metrics.countRequest(result.outcome, input.route.kind, result.reason ?? '');
      metrics.recordLatency(input, result);
      const isAnswered = result.outcome === Outcome.Answered;
      if (result.outcome === Outcome.Abandoned) return;
      if ((isAnswered && !isLate(input, result)) || !reserveLine()) return;
      logger.warn(isAnswered ? 'a request was answered late' : 'a request was not answered', {
        request: input.request.callerAttemptId ?? '',
        route: input.route.name,
        model: input.request.model ?? '',
        outcome: result.outcome,
        reason: result.reason ?? '',
        status: result.status ?? 0,
        targets: result.targetIds.join(' '),
        failure: result.lastFailure,
        firstByteMs: Math.round(result.firstByteMs ?? 0),
        longestGapMs: Math.round(result.longestGapMs),
        configuration: input.configurationVersion,
        tookMs: Math.round(timers.getMonotonicMs() - input.arrivedMs),
      });
    },
  };
}
