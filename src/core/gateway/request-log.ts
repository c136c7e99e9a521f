import type { LimitReport } from '../advisories/index.ts';
import type {
  CallerRequest,
  FailureReason,
  RoutedRequest,
  ForwardingResult,
} from '../forwarding/index.ts';
import { Outcome } from '../forwarding/index.ts';
import type { Logger } from '../logs/index.ts';
import type { Waiter } from '../placement/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { QuarantineEntry, TargetCrash } from '../quarantine/index.ts';
import { QuarantineChange } from '../quarantine/index.ts';
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
  /** Records that a waiting request is refused in favour of one that arrives. */
  recordDisplacement(input: RoutedRequest, displaced: Waiter): void;
  recordResult(input: RoutedRequest, result: ForwardingResult): void;
  /** Records that a target crashed, with the requests whose responses had not begun. */
  recordCrash(crash: TargetCrash): void;
  /** Records the limit of requests that a target states, or that it states none any more. */
  recordLimit(report: LimitReport): void;
  /** Records that a target wants no requests from this gateway for a time. */
  recordPause(targetId: string, pauseMs: number): void;
  /** Records that a set of prompt parts is quarantined, tried or released. */
  recordQuarantine(change: QuarantineChange, entry: QuarantineEntry): void;
}

/** Requests of one crash, and parts of one prompt, that a line names at most. */
const MAX_LISTED_REQUESTS = 8;
const MAX_LISTED_PARTS = 8;
const QUARANTINE_MESSAGES: Readonly<Record<QuarantineChange, string>> = {
  [QuarantineChange.Added]: 'quarantined parts of prompts',
  [QuarantineChange.Learned]: 'another gateway quarantined parts of prompts',
  [QuarantineChange.Tried]: 'a request tries quarantined parts again',
  [QuarantineChange.Cleared]: 'an answer cleared a part of prompts',
};
/** Maximum lines per second; further lines are only counted. */
const MAX_LINES_PER_SECOND = 60;
const MS_PER_SECOND = 1_000;

/** Tells whether a response missed the latency objective or had too long a gap between events. */
function isLate({ route }: RoutedRequest, result: ForwardingResult): boolean {
  const { gapObjectiveMs, latencyObjectiveMs } = route;
  if ((result.firstByteMs ?? 0) > latencyObjectiveMs) return true;
  return gapObjectiveMs !== undefined && result.longestGapMs > gapObjectiveMs;
}

/** Formats the deepest parts of a prompt; a caller chooses how many there are. */
function formatParts(partIds: readonly string[]): string {
  return partIds.slice(-MAX_LISTED_PARTS).join(',');
}

/** Creates the request log. */
export function createRequestLog(
  logger: Logger,
  timers: Pick<TimerService, 'getMonotonicMs'>,
  metrics: Pick<
    GatewayMetrics,
    'countRequest' | 'countRetry' | 'countDisplacement' | 'countCrash' | 'recordLatency'
  >,
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
    recordDisplacement(input, { load, priority, giveUpMs }) {
      const requestClass = load?.requestClass;
      metrics.countDisplacement(requestClass?.route ?? '', requestClass?.isLarge ?? false);
      if (!reserveLine()) return;
      logger.info('refused a waiting request in favour of another one', {
        request: input.request.callerAttemptId ?? '',
        route: input.route.name,
        priority: input.route.priority,
        refusedRoute: requestClass?.route ?? '',
        refusedCustomer: requestClass?.customer ?? '',
        refusedPriority: priority,
        refusedWorkMs: Math.round(load?.workMs ?? 0),
        leftMs: Math.round(giveUpMs - timers.getMonotonicMs()),
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
        parts: formatParts(input.request.sharedPartIds),
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
    recordCrash({ target, requests }) {
      metrics.countCrash(target.service);
      if (!reserveLine()) return;
      const notBegun = requests.filter(({ hasBegun }) => !hasBegun);
      const listed = notBegun.slice(0, MAX_LISTED_REQUESTS);
      logger.warn('a target crashed', {
        target: target.id,
        begun: requests.length - notBegun.length,
        notBegun: notBegun.length,
        requests: listed.map(({ requestId }) => requestId).join(' '),
        parts: listed.map(({ sharedPartIds }) => formatParts(sharedPartIds)).join(' '),
      });
    },
    recordLimit({ targetId, requestsPerSecond, sent, resent }) {
      if (!reserveLine()) return;
      const counts = { sent, resent };
      if (requestsPerSecond === undefined) {
        logger.info('a target has no request limit any more', { target: targetId, ...counts });
        return;
      }
      logger.warn('a target limits its requests', {
        target: targetId,
        perSecond: requestsPerSecond,
        ...counts,
      });
    },
    recordPause(targetId, pauseMs) {
      if (!reserveLine()) return;
      logger.info('a target wants no requests for a time', { target: targetId, pauseMs });
    },
    recordQuarantine(change, { parts, customers, crashes, lastCrashMs }) {
      if (!reserveLine()) return;
      logger.warn(QUARANTINE_MESSAGES[change], {
        parts: formatParts(parts),
        customers: [...customers].join(' '),
        crashes,
        sinceMs: Math.round(timers.getMonotonicMs() - lastCrashMs),
      });
    },
  };
}
