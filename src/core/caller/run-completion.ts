import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { createError, ErrorKind, formatProblem, isServingError } from '../errors/index.ts';
import type { AddressCache } from './address-cache.ts';
import { formatOrigin } from '../origin/index.ts';
import { readEvents } from './sse-reader.ts';
import type { ServerSentEvent } from './sse-reader.ts';
import type { CallerOptions, CompletionRequest, CompletionResult } from './types.ts';

const HTTP_OK = 200;
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([429, 502, 503]);
const RETRY_DELAY_MS = 100;

/** Errors that are not retried, because another attempt would fail in the same way. */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.RequestInvalid,
  ErrorKind.UsageInvalid,
]);
const DEFAULT_MAX_ATTEMPTS = 20;
const DONE_MARKER = '[DONE]';

/** Time without an event or heartbeat after which a connection is closed. */
const IDLE_TIMEOUT_MS = 15_000;

interface Progress {
  requestId: string;
  text: string;
  lastEventId: string;
  total: number | undefined;
  isDone: boolean;
}

interface Chunk {
  choices: { text: string }[];
  usage?: { completion_tokens: number };
}

function applyEvent(
  progress: Progress,
  event: ServerSentEvent,
  completion: CompletionRequest,
): void {
  if (event.data === DONE_MARKER) {
    progress.isDone = true;
    return;
  }
  if (event.event === 'error') throw new Error(event.data);
  const chunk = JSON.parse(event.data) as Chunk;
  const text = chunk.choices[0]?.text ?? '';
  progress.text += text;
  if (event.id !== '') progress.lastEventId = event.id;
  if (chunk.usage !== undefined) progress.total = chunk.usage.completion_tokens;
  if (text !== '') completion.handleText?.(text);
}

/**
 * Runs a completion. A broken stream is resumed from its last event at the next address; throws
 * `StreamBroken` when all attempts have failed.
 */
export async function runCompletion(
  options: CallerOptions,
  addressCache: AddressCache,
  dispatcher: Dispatcher,
  completion: CompletionRequest,
): Promise<CompletionResult> {
  const { customer, timers } = options;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const progress: Progress = {
    requestId: '',
    text: '',
    lastEventId: '',
    total: undefined,
    isDone: false,
  };

  const buildHeaders = (): Record<string, string> => ({
    'content-type': 'application/json',
    'x-customer': customer,
    ...(progress.lastEventId !== '' && { 'last-event-id': progress.lastEventId }),
  });

  /**
   * Sends the request once and reads its stream. A status that a retry can't change is thrown as
   * `RequestInvalid`.
   */
  const attemptOnce = async (attempt: number): Promise<void> => {
    const { addresses } = await addressCache.fetchAddressAnswer();
    const endpoint = addresses[attempt % Math.max(1, addresses.length)];
    if (endpoint === undefined) throw new Error('no entry address is available for this customer');
    const { model, prompt, maxTokens } = completion;
    const response = await request(`${formatOrigin(endpoint)}/v1/completions`, {
      method: 'POST',
      dispatcher,
      headers: buildHeaders(),
      body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true }),
      headersTimeout: IDLE_TIMEOUT_MS,
      bodyTimeout: IDLE_TIMEOUT_MS,
    });
    if (response.statusCode !== HTTP_OK) {
      const problem = await response.body.text();
      if (RETRYABLE_STATUSES.has(response.statusCode)) throw new Error(problem);
      throw createError(ErrorKind.RequestInvalid, { path: 'completion', problem });
    }
    progress.requestId = String(response.headers['x-request-id']);
    for await (const event of readEvents(response.body)) applyEvent(progress, event, completion);
    if (!progress.isDone) throw new Error('the stream ended without [DONE]');
  };

  let problem = '';
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    try {
      await attemptOnce(attempt);
      const { requestId, text, total = 0 } = progress;
      return { requestId, text, total, attempts: attempt + 1 };
    } catch (error) {
      if (isServingError(error) && NON_RETRYABLE_KINDS.has(error.kind)) throw error;
      problem = formatProblem(error);
      addressCache.invalidate();
      await timers.waitFor(RETRY_DELAY_MS);
    }
  }
  const details = { requestId: progress.requestId, offset: progress.text.length, problem };
  throw createError(ErrorKind.StreamBroken, details);
}
