import { FailureReason } from '../forwarding/index.ts';
import type { LogEntry } from './parse-log.ts';

/** Log lines that explain one request, and its cause; `explain --json` prints the fields. */
export interface Explanation {
  /** Lines of the request and related lines of the gateways, sorted by time. */
  path: LogEntry[];
  /** Outcome and reason, and the last related event until shortly after the request's last line. */
  cause: string;
}

/** Time before the first line of a request within which events may have caused its outcome. */
const LOOKBACK_MS = 4_000;
/** Time after the last line of a request within which related events are still included. */
const LOOKAHEAD_MS = 300;

const CAUSE_BY_REASON: Readonly<Record<FailureReason, string>> = {
  [FailureReason.NoConfiguration]: 'the gateway had just started and had no configuration yet',
  [FailureReason.OutdatedConfiguration]:
    'the configuration in force does not allow the request, but may be outdated',
  [FailureReason.NoRoute]: 'no route of the configuration in force matches the request',
  [FailureReason.UnknownKey]: 'the request has no key of a customer of the configuration in force',
  [FailureReason.NoTarget]: 'no target was available within the time that the request may wait',
  [FailureReason.TargetsLimited]:
    'all targets of the service limit their requests, and none would take one more in time',
  [FailureReason.TargetsFull]: 'all targets held as many requests as they can process in time',
  [FailureReason.Displaced]:
    'it was refused while it waited, in favour of a request that costs callers more to refuse',
  [FailureReason.RefusedByTarget]: 'every target that was tried refused the request',
  [FailureReason.RetryBudget]: 'the retry budget, which all gateways share, was exhausted',
  [FailureReason.AttemptsUsed]: 'the request used all attempts that its route allows',
  [FailureReason.TimeLimit]: 'its deadline or the time limit of its route passed',
  [FailureReason.NoConnection]:
    'the gateway had no connection left for a send; the request was not executed',
  [FailureReason.Stopping]: 'the gateway was stopping; the request was not executed',
  [FailureReason.TargetFailed]: 'its target failed, and the request must not be retried',
  [FailureReason.Unsendable]: 'the request cannot be written as HTTP, so no target got it',
  [FailureReason.Quarantined]: 'its prompt holds parts that have crashed targets',
  [FailureReason.TooLarge]: 'its body is larger than the configuration allows',
  [FailureReason.TooManyPipelined]:
    'its connection had as many requests in progress as the gateway allows',
  [FailureReason.MemoryFull]: 'the gateway held as much for other requests as its memory allows',
  [FailureReason.BodyTimeout]: 'its caller did not send the whole body in time',
};

function isReason(value: unknown): value is FailureReason {
  return Object.values<unknown>(FailureReason).includes(value);
}

/** Lists the target ids in a line; a field holds one id or several separated by spaces. */
function listTargetIds(entry: LogEntry): string[] {
  const { target, targets, engines, members, head, failed } = entry.values;
  return [target, targets, engines, members, head, failed]
    .flatMap((value) => String(value ?? '').split(' '))
    .filter((id) => id !== '');
}

/** Messages about a gateway's state as a whole; used if the request names no target. */
const GATEWAY_STATE_MESSAGES: readonly RegExp[] = [
  /^the store /,
  /^the history is gone/,
  /^a zone is /,
  /^(took|lost) the duty/,
  /^a configuration is in force/,
  /^(started|stopping)$/,
];

function isGatewayStateEntry({ message }: LogEntry): boolean {
  return GATEWAY_STATE_MESSAGES.some((pattern) => pattern.test(message));
}

/** Leaves out what several gateways logged about the same event, except for the first of them. */
function selectFirstOfEqual(sorted: readonly LogEntry[]): LogEntry[] {
  const seen = new Set<string>();
  return sorted.filter(({ message, values }) => {
    const key = `${message} ${JSON.stringify(values)}`;
    if (seen.has(key)) return false;
    seen.add(key);
    return true;
  });
}

function buildCause(last: LogEntry, contextEntries: readonly LogEntry[]): string {
  const { reason, outcome } = last.values;
  const reasonText = isReason(reason) ? CAUSE_BY_REASON[reason] : 'the gateway logged no reason';
  const { failure } = last.values;
  const failureText =
    typeof failure === 'string' && failure !== '' ? ` The last target failed: ${failure}.` : '';
  const outcomeText = typeof outcome === 'string' ? outcome : last.message;
  const ids = new Set(listTargetIds(last));
  // What was noticed after the failure is shown, but cannot have caused it.
  const earlierEntries = contextEntries.filter(({ wallMs }) => wallMs <= last.wallMs);
  const relatedEntries = earlierEntries.filter((entry) =>
    listTargetIds(entry).some((id) => ids.has(id)),
  );
  // A gateway's general state explains only requests that were sent to no target.
  const gatewayStateEntries = ids.size === 0 ? earlierEntries.filter(isGatewayStateEntry) : [];
  const lastRelated = relatedEntries.at(-1) ?? gatewayStateEntries.at(-1);
  if (lastRelated === undefined) return `${outcomeText}: ${reasonText}.${failureText}`;
  const sinceMs = Math.round(last.wallMs - lastRelated.wallMs);
  const detail = Object.entries(lastRelated.values)
    .map(([name, value]) => `${name} ${String(value)}`)
    .join(', ');
  return `${outcomeText}: ${reasonText}.${failureText} Last related event, ${sinceMs} ms earlier: ${lastRelated.message} (${detail}).`;
}

/** Explains the outcome of a request from log lines; returns undefined if no line names it. */
export function explainRequest(
  entries: readonly LogEntry[],
  attemptId: string,
): Explanation | undefined {
  const requestEntries = entries
    .filter(({ values }) => values.request === attemptId)
    .sort((left, right) => left.wallMs - right.wallMs);
  const first = requestEntries[0];
  const last = requestEntries.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const ids = new Set(requestEntries.flatMap(listTargetIds));
  const isRelated = (entry: LogEntry): boolean =>
    ids.size > 0 ? listTargetIds(entry).some((id) => ids.has(id)) : isGatewayStateEntry(entry);
  const contextEntries = selectFirstOfEqual(
    entries
      .filter(({ values }) => values.request === undefined)
      .filter(
        ({ wallMs }) => wallMs > first.wallMs - LOOKBACK_MS && wallMs < last.wallMs + LOOKAHEAD_MS,
      )
      .filter((entry) => isRelated(entry))
      .sort((left, right) => left.wallMs - right.wallMs),
  );
  const path = [...requestEntries, ...contextEntries].sort(
    (left, right) => left.wallMs - right.wallMs,
  );
  return { path, cause: buildCause(last, contextEntries) };
}
