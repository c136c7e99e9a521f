import { FailureReason } from '../forwarding/index.ts';
import type { LogEntry } from './parse-log.ts';

/** The path of one request over the gateways. */
export interface Explanation {
  /** Lines of the request and of what its decisions rested on, in order of time. */
  path: LogEntry[];
  /** What happened and why, in one sentence. */
  cause: string;
}

/** Time before the first line of a request in which changes may have led to its end. */
const BEFORE_MS = 4_000;
const AFTER_MS = 300;

const CAUSE_BY_REASON: Readonly<Record<FailureReason, string>> = {
  [FailureReason.NoConfiguration]: 'the gateway had just started and knew no configuration',
  [FailureReason.NoRoute]: 'no route of the configuration in force selects the request',
  [FailureReason.UnknownKey]: 'no customer of the configuration in force holds the key',
  [FailureReason.NoTarget]: 'no target could take the request in the time it may wait',
  [FailureReason.AllBusy]: 'every target that was tried refused it',
  [FailureReason.RetryBudget]: 'the budget that all gateways share for second sends was spent',
  [FailureReason.AttemptsUsed]: 'it was sent to as many targets as its route allows',
  [FailureReason.TimeLimit]: 'its deadline or the time limit of its route passed',
  [FailureReason.Stopping]: 'the gateway was stopping; the request has not run',
  [FailureReason.TargetFailed]: 'its target failed, and it may not be sent again',
  [FailureReason.TooLarge]: 'its body is larger than the configuration allows',
};

function isReason(value: unknown): value is FailureReason {
  return Object.values<unknown>(FailureReason).includes(value);
}

/** Ids that a line names: single ones, and lists separated by blanks. */
function listIds(entry: LogEntry): string[] {
  const { target, targets, engines, members, head, failed } = entry.values;
  return [target, targets, engines, members, head, failed]
    .flatMap((value) => String(value ?? '').split(' '))
    .filter((id) => id !== '');
}

/** Lines about what the gateway believed in general; they matter where no target is named. */
const GENERAL_MESSAGES: readonly RegExp[] = [
  /^the store /,
  /^the history is gone/,
  /^a zone is /,
  /^(took|lost) the duty/,
  /^a configuration is in force/,
  /^(started|stopping)$/,
];

function isGeneral({ message }: LogEntry): boolean {
  return GENERAL_MESSAGES.some((pattern) => pattern.test(message));
}

function buildCause(last: LogEntry, background: readonly LogEntry[]): string {
  const { reason, outcome } = last.values;
  const why = isReason(reason) ? CAUSE_BY_REASON[reason] : 'the gateway gave no reason';
  const kind = typeof outcome === 'string' ? outcome : last.message;
  const ids = new Set(listIds(last));
  const related = background.filter((entry) => listIds(entry).some((id) => ids.has(id)));
  // What the gateway believed in general decides only about requests that it sent to no target.
  const general = ids.size === 0 ? background.filter(isGeneral) : [];
  const trigger = related.at(-1) ?? general.at(-1);
  if (trigger === undefined) return `${kind}: ${why}.`;
  const sinceMs = Math.round(last.wallMs - trigger.wallMs);
  const detail = Object.entries(trigger.values)
    .map(([name, value]) => `${name} ${String(value)}`)
    .join(', ');
  return `${kind}: ${why}. Before it, ${sinceMs} ms earlier: ${trigger.message} (${detail}).`;
}

/** Explains a request from captured lines; undefined if no line names it. */
export function explainRequest(
  entries: readonly LogEntry[],
  attemptId: string,
): Explanation | undefined {
  const own = entries
    .filter(({ values }) => values.request === attemptId)
    .sort((left, right) => left.wallMs - right.wallMs);
  const first = own[0];
  const last = own.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const ids = new Set(own.flatMap(listIds));
  const isRelated = (entry: LogEntry): boolean =>
    ids.size > 0 ? listIds(entry).some((id) => ids.has(id)) : isGeneral(entry);
  const background = entries
    .filter(({ values }) => values.request === undefined)
    .filter(({ wallMs }) => wallMs > first.wallMs - BEFORE_MS && wallMs < last.wallMs + AFTER_MS)
    .filter((entry) => isRelated(entry))
    .sort((left, right) => left.wallMs - right.wallMs);
  const path = [...own, ...background].sort((left, right) => left.wallMs - right.wallMs);
  return { path, cause: buildCause(last, background) };
}
