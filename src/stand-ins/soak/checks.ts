import type { LimitedArrival, Observations, ObservedResponse, TargetRun } from './observations.ts';
import { LIMITS } from './gateway-settings.ts';
import { ResponseEnd, RequestClass } from './observations.ts';

/** Rules that a soak test checks. */
export enum Rule {
  /** A caller receives the response to its own request. */
  OwnResponse = 'own-answer',
  /** A large answer that looks complete has all bytes that its target sent. */
  CompleteAnswer = 'whole-answer',
  /** A complete stream contains each event exactly once and in order. */
  CompleteStream = 'whole-stream',
  /** A non-idempotent request is executed at most once. */
  RunOnce = 'run-once',
  /** A refused non-idempotent request was not executed and is not executed later. */
  RefusedNotExecuted = 'true-refusal',
  /** No request starts in a group whose members have not all been ready. */
  CompleteGroup = 'whole-group',
  /** No engine joins a group while the head of its previous group is open or closing. */
  OneGroup = 'one-group',
  /** A gateway never reverts to an older configuration; checked by address, across restarts. */
  NewestConfiguration = 'newest-configuration',
  /** A planned stop completes in time and interrupts no request. */
  GracefulStop = 'graceful-stop',
  /** Targets execute only requests that a caller sent. */
  OnlySentRequests = 'only-asked',
  /** A part of prompts that crashes engines soon reaches no more of them. */
  ContainedCrashes = 'contained-crashes',
  /** An engine gets no more requests than the limit that it states allows, by the slack of the rule. */
  KeptLimits = 'kept-limits',
  /** A gateway ends only when a signal tells it to. */
  KeepsRunning = 'keeps-running',
  /** The resident memory of a gateway keeps to the limit of its VM. */
  MemoryLimit = 'memory-limit',
  /** Callers that read and send at once are answered or refused until their deadline. */
  AnsweredInTime = 'answered-in-time',
  /** Requests of callers that read and send at once are served beside those of slow ones. */
  SoundCallersServed = 'sound-callers-served',
  /** Prompts that share other parts with the deadly ones are served meanwhile. */
  SoundPromptsServed = 'sound-prompts-served',
  /** A duty has one holder at a time, and a window one report. */
  OneHolder = 'one-holder',
  /** The usage of each window is reported in time, nearly as it was. */
  UsageReported = 'usage-reported',
}

/** One violation of a rule. */
export interface Violation {
  rule: Rule;
  detail: string;
}

/** Statuses that guarantee that the request was not executed. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time after SIGTERM within which a gateway must exit; the platform kills it after 8 s. */
export const MAX_STOP_MS = 8_000;
/** Classes whose requests run at most once. */
const RUN_ONCE_CLASSES: ReadonlySet<RequestClass> = new Set([
  RequestClass.Order,
  RequestClass.Bulk,
]);

function getAttemptId({ attemptId }: ObservedResponse): string {
  return attemptId;
}

function isSuccess({ status }: ObservedResponse): boolean {
  return status >= 200 && status < 300;
}

function groupRunsByAttempt(runs: readonly TargetRun[]): Map<string, TargetRun[]> {
  const byAttempt = new Map<string, TargetRun[]>();
  for (const run of runs) {
    const list = byAttempt.get(run.attemptId) ?? [];
    list.push(run);
    byAttempt.set(run.attemptId, list);
  }
  return byAttempt;
}

function checkResponses(observations: Observations): Violation[] {
  return observations.responses
    .filter((response) => isSuccess(response) && response.end === ResponseEnd.Complete)
    .filter(({ attemptId, bodyAttemptId }) => bodyAttemptId !== attemptId)
    .map(({ attemptId, bodyAttemptId }) => ({
      rule: Rule.OwnResponse,
      detail: `${attemptId} received the response to ${bodyAttemptId ?? 'no attempt'}`,
    }));
}

function checkStreams(observations: Observations): Violation[] {
  return observations.responses.flatMap((response): Violation[] => {
    const { attemptId, eventNumbers, lastEventNumber, end } = response;
    const isStream = observations.requests.get(attemptId)?.requestClass === RequestClass.Stream;
    if (!isStream || !isSuccess(response)) return [];
    const isInOrder = eventNumbers.every((number, index) => number === index + 1);
    const isComplete = end !== ResponseEnd.Complete || eventNumbers.length === lastEventNumber;
    if (isInOrder && isComplete) return [];
    const detail = `${attemptId}: ${eventNumbers.join(' ')} of ${lastEventNumber ?? '?'}, ${end}`;
    return [{ rule: Rule.CompleteStream, detail }];
  });
}

function checkRuns(observations: Observations): Violation[] {
  const violations: Violation[] = [];
  for (const [attemptId, runs] of groupRunsByAttempt(observations.runs)) {
    const request = observations.requests.get(attemptId);
    if (request === undefined) {
      violations.push({
        rule: Rule.OnlySentRequests,
        detail: `${attemptId} was executed, but no caller sent it`,
      });
    } else if (RUN_ONCE_CLASSES.has(request.requestClass) && runs.length > 1) {
      const targets = runs.map(({ targetId }) => targetId).join(' ');
      violations.push({
        rule: Rule.RunOnce,
        detail: `${attemptId} was executed more than once: ${targets}`,
      });
    }
    runs
      .filter(({ isGroupComplete }) => !isGroupComplete)
      .forEach(({ targetId }) =>
        violations.push({
          rule: Rule.CompleteGroup,
          detail: `${attemptId} started at ${targetId} in an incomplete group`,
        }),
      );
  }
  return violations;
}

function checkRefusals(observations: Observations): Violation[] {
  const runs = groupRunsByAttempt(observations.runs);
  return observations.responses
    .filter(({ status }) => REFUSAL_STATUSES.has(status))
    .filter(({ attemptId }) => {
      const requestClass = observations.requests.get(attemptId)?.requestClass;
      return (
        requestClass !== undefined && RUN_ONCE_CLASSES.has(requestClass) && runs.has(attemptId)
      );
    })
    .map(({ attemptId, status }) => ({
      rule: Rule.RefusedNotExecuted,
      detail: `${attemptId} was refused with ${status}, but was executed`,
    }));
}

function checkVersions(observations: Observations): Violation[] {
  const newest = new Map<string, { version: number; seenMs: number }>();
  const violations: Violation[] = [];
  const responses = [...observations.responses].sort((left, right) => left.endedMs - right.endedMs);
  for (const { attemptId, version, endedMs } of responses) {
    const request = observations.requests.get(attemptId);
    if (version === undefined || request === undefined) continue;
    const known = newest.get(request.gateway);
    // A request sent before the newer version was observed may have been routed by the older one.
    if (known !== undefined && version < known.version && request.sentMs > known.seenMs) {
      const detail = `${attemptId} at ${request.gateway}: version ${version} after ${known.version}`;
      violations.push({ rule: Rule.NewestConfiguration, detail });
    }
    if (known === undefined || version > known.version) {
      newest.set(request.gateway, { version, seenMs: endedMs });
    }
  }
  return violations;
}

function checkStops(observations: Observations): Violation[] {
  const violations: Violation[] = [];
  for (const { gateway, atMs, endedMs, isDisrupted } of observations.plannedStops) {
    const tookMs = (endedMs ?? Infinity) - atMs;
    if (tookMs > MAX_STOP_MS) {
      violations.push({
        rule: Rule.GracefulStop,
        detail: `${gateway} took ${Math.round(tookMs)} ms to stop`,
      });
    }
    if (isDisrupted) continue;
    for (const response of observations.responses) {
      const request = observations.requests.get(response.attemptId);
      const wasInFlight =
        request?.gateway === gateway && request.sentMs <= atMs && response.endedMs >= atMs;
      if (wasInFlight && response.end === ResponseEnd.Broken) {
        const detail = `${response.attemptId} was interrupted by the stop of ${gateway}`;
        violations.push({ rule: Rule.GracefulStop, detail });
      }
    }
  }
  return violations;
}

function checkUnplannedEnds({ unplannedEnds, startMs }: Observations): Violation[] {
  return unplannedEnds.map(({ gateway, end, isOverMemory, memoryMb, ranMs, atMs, lastLine }) => {
    const cause = isOverMemory ? `${end} of the platform, over its memory` : end;
    const times = `${Math.round(ranMs)} ms after its start, ${Math.round(atMs - startMs)} ms after the first fault could begin`;
    const detail = `${gateway} ended by itself with ${cause}, ${times}, with ${Math.round(memoryMb)} MB; last line: ${lastLine}`;
    return { rule: Rule.KeepsRunning, detail };
  });
}

function checkMemory({ peakMemoryMb }: Observations): Violation[] {
  return [...peakMemoryMb]
    .filter(([, peakMb]) => peakMb > LIMITS.memory_mb)
    .map(([gateway, peakMb]) => ({
      rule: Rule.MemoryLimit,
      detail: `${gateway} held ${Math.round(peakMb)} MB`,
    }));
}

function checkJoins(observations: Observations): Violation[] {
  return observations.conflictingJoins.map(({ targetId, group, formerGroup }) => ({
    rule: Rule.OneGroup,
    detail: `${targetId} joined ${group} while ${formerGroup} was open`,
  }));
}

/** Crashes by one part after which it may reach only `MAX_LATE_ARRIVALS` more engines. */
const CRASHES_BEFORE_BOUND = 5;
const MAX_LATE_ARRIVALS = 3;
/** Time after the last allowed crash until the bound holds; `touch_ms` of the settings. */
const TOUCH_MS = 3_000;
const MS_PER_SECOND = 1_000;
const MIN_SERVED_SHARE = 0.5;
const MIN_SAMPLE = 20;

/** Checks the bounds on deadly prompts; they hold for gateways without faults of their own. */
export function findDeadlyPromptViolations(observations: Observations): Violation[] {
  const { engineCrashesMs, deadlyArrivals, requests, responses } = observations;
  const lastAllowedMs = engineCrashesMs[Math.min(CRASHES_BEFORE_BOUND, engineCrashesMs.length) - 1];
  if (lastAllowedMs === undefined) return [];
  const violations: Violation[] = [];
  const late = deadlyArrivals.filter(({ atMs }) => atMs > lastAllowedMs + TOUCH_MS);
  if (engineCrashesMs.length >= CRASHES_BEFORE_BOUND && late.length > MAX_LATE_ARRIVALS) {
    const detail = `${late.length} deadly requests reached engines later than ${TOUCH_MS} ms after crash ${CRASHES_BEFORE_BOUND} of ${engineCrashesMs.length}`;
    violations.push({ rule: Rule.ContainedCrashes, detail });
  }
  const served = new Set(
    responses.filter((one) => isSuccess(one) && one.end === ResponseEnd.Complete).map(getAttemptId),
  );
  const sound = [...requests.values()].filter(
    ({ requestClass, isDeadly, sentMs }) =>
      requestClass === RequestClass.Stream && !isDeadly && sentMs > lastAllowedMs + 2 * TOUCH_MS,
  );
  const servedCount = sound.filter(({ attemptId }) => served.has(attemptId)).length;
  if (sound.length >= MIN_SAMPLE && servedCount < sound.length * MIN_SERVED_SHARE) {
    const detail = `${servedCount} of ${sound.length} sound requests were served`;
    violations.push({ rule: Rule.SoundPromptsServed, detail });
  }
  return violations;
}

const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVERAGE = 1.5;
const LIMIT_SLACK = 5;

/** Checks the limits that engines state; they hold for gateways without faults of their own. */
export function findLimitViolations({ limitedArrivals }: Observations): Violation[] {
  const byTarget = new Map<string, LimitedArrival[]>();
  for (const arrival of limitedArrivals.filter(({ statedForMs }) => statedForMs > TOUCH_MS)) {
    byTarget.set(arrival.targetId, [...(byTarget.get(arrival.targetId) ?? []), arrival]);
  }
  return [...byTarget].flatMap(([targetId, arrivals]): Violation[] => {
    const perSecond = arrivals[0]?.requestsPerSecond ?? 0;
    const allowed = (LIMIT_OVERAGE * perSecond * LIMIT_WINDOW_MS) / MS_PER_SECOND + LIMIT_SLACK;
    const countFrom = (start: number): number =>
      arrivals.filter(({ statedForMs: at }) => at >= start && at < start + LIMIT_WINDOW_MS).length;
    const most = Math.max(...arrivals.map(({ statedForMs }) => countFrom(statedForMs)));
    if (most <= allowed) return [];
    const detail = `${targetId} with a limit of ${perSecond} a second got ${most} requests in 4 s`;
    return [{ rule: Rule.KeptLimits, detail }];
  });
}

function checkAnswers({ responses }: Observations): Violation[] {
  return responses
    .filter((one) => isSuccess(one) && one.end === ResponseEnd.Complete)
    .filter(({ missingBytes = 0 }) => missingBytes !== 0)
    .map(({ attemptId, missingBytes }) => ({
      rule: Rule.CompleteAnswer,
      detail: `${attemptId} looked complete, but ${missingBytes} bytes were missing`,
    }));
}

/** Checks the observations of a run against all rules and returns the violations. */
export function findViolations(observations: Observations): Violation[] {
  const checks = [
    checkResponses,
    checkAnswers,
    checkStreams,
    checkRuns,
    checkRefusals,
    checkVersions,
    checkStops,
    checkJoins,
    checkUnplannedEnds,
    checkMemory,
  ];
  return checks.flatMap((check) => check(observations));
}
