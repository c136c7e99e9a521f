import type { TargetAdvice } from '../core/advisories/index.ts';
import type {
  ResponseHead,
  CallerRequest,
  HeaderList,
  TargetRequest,
  WireFormat,
} from '../core/forwarding/types.ts';
import { Header, KEY_SCHEME } from './headers.ts';

const HTTP_MISDIRECTED = 421;
const MS_PER_SECOND = 1_000;
/** Urgency from 0 (first) to 9; requests without one have 5. */
const URGENT = '1';

/** Hop-by-hop header fields (RFC 9110, section 7.6.1), and fields about framing. */
const CONNECTION_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Fields that the gateway sets itself; the caller's values are dropped. */
const GATEWAY_REQUEST_FIELDS: ReadonlySet<string> = new Set([
  Header.Authorization,
  Header.Customer,
  Header.DeadlineMs,
  Header.ExpectedTarget,
  Header.LastEventId,
  Header.Urgency,
]);

/** Returns the names of the hop-by-hop fields listed in the `Connection` header. */
function listConnectionOptions(rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const option of (rawHeaders[index + 1] ?? '').split(',')) {
      options.add(option.trim().toLowerCase());
    }
  }
  return options;
}

function selectForwardedFields(
  rawHeaders: readonly string[],
  isForwarded: (name: string) => boolean,
): HeaderList {
  const options = listConnectionOptions(rawHeaders);
  const forwarded: HeaderList = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (CONNECTION_FIELDS.has(lower) || options.has(lower) || !isForwarded(lower)) continue;
    forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}

function findField(rawHeaders: readonly string[], wanted: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === wanted) return rawHeaders[index + 1];
  }
  return undefined;
}

function parseNonNegativeNumber(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d+(\.\d+)?$/.test(text.trim())) return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}

function parseKey(authorization: string | undefined): string | undefined {
  if (authorization === undefined) return undefined;
  const [scheme = '', key] = authorization.trim().split(/ +/);
  return scheme.toLowerCase() === KEY_SCHEME.toLowerCase() ? key : undefined;
}

/** Parts of a prompt that are told apart; of more, the last ones are kept. */
const MAX_SHARED_PARTS = 64;
const PART_PATTERN = /^([0-9a-f]{1,32}):\d+$/;

/** Parses the ids of a prompt's parts, without the last one, which no other request shares. */
function parseSharedParts(text: string | undefined): string[] {
  if (text === undefined) return [];
  return text
    .toLowerCase()
    .split(',')
    .slice(0, -1)
    .slice(-MAX_SHARED_PARTS)
    .flatMap((part) => PART_PATTERN.exec(part.trim())?.[1] ?? []);
}

function parseRequest(method: string, path: string, rawHeaders: readonly string[]): CallerRequest {
  const [promptTokens, maxAnswerTokens] = (findField(rawHeaders, Header.TokenUsage) ?? '').split(
    ',',
  );
  return {
    method,
    path,
    host: (findField(rawHeaders, 'host') ?? '').toLowerCase().replace(/:\d+$/, ''),
    callerAttemptId: findField(rawHeaders, Header.AttemptId),
    deadlineMs: parseNonNegativeNumber(findField(rawHeaders, Header.DeadlineMs)),
    key: parseKey(findField(rawHeaders, Header.Authorization)),
    model: findField(rawHeaders, Header.Model),
    promptTokens: parseNonNegativeNumber(promptTokens) ?? 0,
    maxAnswerTokens: parseNonNegativeNumber(maxAnswerTokens),
    expectedAnswerTokens: parseNonNegativeNumber(findField(rawHeaders, Header.LengthHint)),
    sharedPartIds: parseSharedParts(findField(rawHeaders, Header.PromptParts)),
    lastEventId: findField(rawHeaders, Header.LastEventId),
    forwardedHeaders: selectForwardedFields(
      rawHeaders,
      (name) => !GATEWAY_REQUEST_FIELDS.has(name),
    ),
  };
}

function buildTargetHeaders({
  request,
  target,
  remainingMs,
  customer,
  lastEventId,
  isUrgent,
}: TargetRequest): HeaderList {
  const headers = [...request.forwardedHeaders];
  headers.push('X-Deadline-Ms', String(Math.max(1, Math.floor(remainingMs))));
  headers.push('X-Expect-Instance', target.id);
  if (isUrgent) headers.push('X-Request-Urgency', URGENT);
  if (customer !== undefined) headers.push('X-Tenant', customer);
  if (lastEventId !== undefined) headers.push('Last-Event-Id', lastEventId);
  return headers;
}

function listFields(rawHeaders: readonly string[], wanted: string): string[] {
  return rawHeaders.filter(
    (_value, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === wanted,
  );
}

/** Lists the values that are non-negative decimal numbers. */
function listNumbers(values: readonly string[]): number[] {
  return values.map(parseNonNegativeNumber).filter((value) => value !== undefined);
}

/** Statuses whose `Retry-After` tells when the target wants to be asked again. */
const PAUSE_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Decodes for how long a target wants no requests; of several times, the longest one holds. */
function parsePauseMs(status: number, rawHeaders: readonly string[]): number | undefined {
  if (!PAUSE_STATUSES.has(status)) return undefined;
  const seconds = listNumbers(listFields(rawHeaders, Header.RetryAfter));
  return seconds.length > 0 ? Math.max(...seconds) * MS_PER_SECOND : undefined;
}

/** Decodes what a target says of itself; of several limits, the lowest one holds. */
function parseAdvice(status: number, rawHeaders: readonly string[]): TargetAdvice {
  const limits = listFields(rawHeaders, Header.RequestLimit);
  const readable = listNumbers(limits);
  return {
    requestsPerSecond: readable.length > 0 ? Math.min(...readable) : undefined,
    isLimitUnreadable: limits.length > 0 && readable.length === 0,
    pauseMs: parsePauseMs(status, rawHeaders),
    isLeaving: listFields(rawHeaders, Header.Leaving).some((text) => text.trim() === '1'),
  };
}

function parseResponseHead(status: number, rawHeaders: readonly string[]): ResponseHead {
  return {
    status,
    isSigned: findField(rawHeaders, Header.Signature) !== undefined,
    isNotRun: findField(rawHeaders, Header.NotRun) !== undefined || status === HTTP_MISDIRECTED,
    callerAttemptId: findField(rawHeaders, Header.AttemptId),
    faultyTargetId: findField(rawHeaders, Header.FaultyTarget),
    isEncoded: findField(rawHeaders, 'content-encoding') !== undefined,
    advice: parseAdvice(status, rawHeaders),
    forwardedHeaders: selectForwardedFields(rawHeaders, () => true),
  };
}

/** Encodes and decodes the platform's header fields of requests and responses. */
export const platformWireFormat: WireFormat = {
  parseRequest,
  buildTargetHeaders,
  parseResponseHead,
  buildRetryHeaders: (retryAfterMs) => [
    'Retry-After',
    (Math.max(0, retryAfterMs) / MS_PER_SECOND).toFixed(2),
  ],
};
