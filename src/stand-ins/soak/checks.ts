import type { Ledger, SeenAnswer, TargetRun } from './ledger.ts';
import { AnswerEnd, RequestClass } from './ledger.ts';

/** Rules that a soak test checks. */
export enum Rule {
  /** A caller receives the response to its own request. */
  OwnAnswer = 'own-answer',
  /** A complete stream contains each event exactly once and in order. */
  WholeStream = 'whole-stream',
  /** A non-idempotent request is executed at most once. */
  RunOnce = 'run-once',
  /** A refused non-idempotent request was not executed and is not executed later. */
  TrueRefusal = 'true-refusal',
  /** No request starts in a group whose members have not all been ready. */
  WholeGroup = 'whole-group',
  /** No engine joins a group while the head of its previous group is open or closing. */
  OneGroup = 'one-group',
  /** A gateway never reverts to an older configuration; checked by address, across restarts. */
  NewestConfiguration = 'newest-configuration',
  /** A planned stop completes in time and interrupts no request. */
  GracefulStop = 'graceful-stop',
  /** Targets execute only requests that a caller sent. */
  OnlyAsked = 'only-asked',
}

/** One violation of a rule. */
export interface Violation {
  rule: Rule;
  detail: string;
}

/** Statuses that guarantee that the request was not executed. */
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time after SIGTERM within which a gateway must exit; the platform kills it after 8 s. */
export const STOP_LIMIT_MS = 8_000;

function isSuccess({ status }: SeenAnswer): boolean {
  return status >= 200 && status < 300;
}

function groupRuns(runs: readonly TargetRun[]): Map<string, TargetRun[]> {
  const byAttempt = new Map<string, TargetRun[]>();
  for (const run of runs) {
    const list = byAttempt.get(run.attemptId) ?? [];
    list.push(run);
    byAttempt.set(run.attemptId, list);
  }
  return byAttempt;
}

function checkAnswers(ledger: Ledger): Violation[] {
  return ledger.answers
    .filter((answer) => isSuccess(answer) && answer.end === AnswerEnd.Complete)
    .filter(({ attemptId, bodyAttemptId }) => bodyAttemptId !== attemptId)
    .map(({ attemptId, bodyAttemptId }) => ({
      rule: Rule.OwnAnswer,
      detail: `${attemptId} received the response to ${bodyAttemptId ?? 'no attempt'}`,
    }));
}

function checkStreams(ledger: Ledger): Violation[] {
  return ledger.answers.flatMap((answer): Violation[] => {
    const { attemptId, eventNumbers, lastNumber, end } = answer;
    const isStream = ledger.requests.get(attemptId)?.requestClass === RequestClass.Stream;
    if (!isStream || !isSuccess(answer)) return [];
    const inOrder = eventNumbers.every((number, index) => number === index + 1);
    const isWhole = end !== AnswerEnd.Complete || eventNumbers.length === lastNumber;
    if (inOrder && isWhole) return [];
    const detail = `${attemptId}: ${eventNumbers.join(' ')} of ${lastNumber ?? '?'}, ${end}`;
    return [{ rule: Rule.WholeStream, detail }];
  });
}

function checkRuns(ledger: Ledger): Violation[] {
  const violations: Violation[] = [];
  for (const [attemptId, runs] of groupRuns(ledger.runs)) {
    const request = ledger.requests.get(attemptId);
    if (request === undefined) {
      violations.push({
        rule: Rule.OnlyAsked,
        detail: `${attemptId} was executed, but no caller sent it`,
      });
    } else if (request.requestClass === RequestClass.Order && runs.length > 1) {
      const targets = runs.map(({ targetId }) => targetId).join(' ');
      violations.push({
        rule: Rule.RunOnce,
        detail: `${attemptId} was executed more than once: ${targets}`,
      });
    }
    runs
      .filter(({ isGroupWhole }) => !isGroupWhole)
      .forEach(({ targetId }) =>
        violations.push({
          rule: Rule.WholeGroup,
          detail: `${attemptId} started at ${targetId} in an incomplete group`,
        }),
      );
  }
  return violations;
}

function checkRefusals(ledger: Ledger): Violation[] {
  const runs = groupRuns(ledger.runs);
  return ledger.answers
    .filter(({ status }) => REFUSALS.has(status))
    .filter(({ attemptId }) => {
      const isRepeatable = ledger.requests.get(attemptId)?.requestClass !== RequestClass.Order;
      return !isRepeatable && runs.has(attemptId);
    })
    .map(({ attemptId, status }) => ({
      rule: Rule.TrueRefusal,
      detail: `${attemptId} was refused with ${status}, but was executed`,
    }));
}

function checkVersions(ledger: Ledger): Violation[] {
  const newest = new Map<string, { version: number; seenMs: number }>();
  const violations: Violation[] = [];
  const answers = [...ledger.answers].sort((left, right) => left.endedMs - right.endedMs);
  for (const { attemptId, version, endedMs } of answers) {
    const request = ledger.requests.get(attemptId);
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

function checkStops(ledger: Ledger): Violation[] {
  const violations: Violation[] = [];
  for (const { gateway, atMs, endedMs, isDisturbed } of ledger.stops) {
    const tookMs = (endedMs ?? Infinity) - atMs;
    if (tookMs > STOP_LIMIT_MS) {
      violations.push({ rule: Rule.GracefulStop, detail: `${gateway} took ${tookMs} ms to stop` });
    }
    if (isDisturbed) continue;
    for (const answer of ledger.answers) {
      const request = ledger.requests.get(answer.attemptId);
      const wasInFlight =
        request?.gateway === gateway && request.sentMs <= atMs && answer.endedMs >= atMs;
      if (wasInFlight && answer.end === AnswerEnd.Broken) {
        const detail = `${answer.attemptId} was interrupted by the stop of ${gateway}`;
        violations.push({ rule: Rule.GracefulStop, detail });
      }
    }
  }
  return violations;
}

function checkJoins(ledger: Ledger): Violation[] {
  return ledger.doubleJoins.map(({ targetId, group, formerGroup }) => ({
    rule: Rule.OneGroup,
    detail: `${targetId} joined ${group} while ${formerGroup} was open`,
  }));
}

/** Checks the observations of a run against all rules and returns the violations. */
export function findViolations(ledger: Ledger): Violation[] {
  const checks = [
    checkAnswers,
    checkStreams,
    checkRuns,
    checkRefusals,
    checkVersions,
    checkStops,
    checkJoins,
  ];
  return checks.flatMap((check) => check(ledger));
}
