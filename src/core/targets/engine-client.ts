import type { Dispatcher } from 'undici';
import { Client } from 'undici';
import type { TimerService } from '../timers/index.ts';
import { CONNECT_DEADLINE_MS, HEARTBEAT_DEADLINE_MS, STOP_DEADLINE_MS } from './consts.ts';
import { openEngineStream } from './engine-stream.ts';
import type {
  AttemptIds,
  EngineClient,
  EngineCompletionRequest,
  EngineEndpoint,
  EngineStream,
  EngineStreamHandlers,
} from './types.ts';
import { formatOrigin } from '../origin/index.ts';

/** Dependencies and settings of the engine client. */
export interface EngineClientOptions {
  timers: TimerService;
  heartbeatDeadlineMs?: number;
}

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_FOUND = 404;

/** Timeouts are handled by the timer service, so those of undici are disabled. */
const CLIENT_OPTIONS = {
  headersTimeout: 0,
  bodyTimeout: 0,
  connect: { timeout: CONNECT_DEADLINE_MS },
};

function formatBody(completion: EngineCompletionRequest): string {
  return JSON.stringify({
    model: completion.model,
    prompt: completion.prompt,
    max_tokens: completion.maxTokens,
    ...(completion.continuation.length > 0 && { continuation: completion.continuation }),
  });
}

function buildGroupHeaders(endpoint: EngineEndpoint): Record<string, string> {
  return { 'x-group': endpoint.group, 'x-generation': String(endpoint.generation) };
}

function buildAttemptHeaders({ request, attempt }: AttemptIds): Record<string, string> {
  return { 'x-request-id': request, 'x-attempt-id': attempt };
}

function buildStreamPath(streamId: string): string {
  return `/v1/streams/${encodeURIComponent(streamId)}`;
}

/** Creates the HTTP client for all engines. */
export function createEngineClient({
  timers,
  heartbeatDeadlineMs = HEARTBEAT_DEADLINE_MS,
}: EngineClientOptions): EngineClient {
  /**
   * Opens a dedicated connection for each stream. A pooled connection may have gone silent, which
   * a request would notice only after the heartbeat deadline; a new connection takes about 1 ms.
   */
  const openStream = (
    endpoint: EngineEndpoint,
    handlers: EngineStreamHandlers,
    request: Dispatcher.RequestOptions,
  ): EngineStream => {
    const client = new Client(formatOrigin(endpoint), CLIENT_OPTIONS);
    return openEngineStream({
      timers,
      deadlineMs: heartbeatDeadlineMs,
      endpoint,
      handlers,
      runRequest: (signal) => client.request({ ...request, signal }),
      handleClosed: () => {
        client.destroy().catch(() => undefined);
      },
    });
  };

  const stopStream = async (endpoint: EngineEndpoint, streamId: string): Promise<boolean> => {
    const client = new Client(formatOrigin(endpoint), CLIENT_OPTIONS);
    const abort = new AbortController();
    const cancelDeadline = timers.scheduleOnce(STOP_DEADLINE_MS, () => abort.abort());
    try {
      const { statusCode, body } = await client.request({
        method: 'DELETE',
        path: buildStreamPath(streamId),
        headers: buildGroupHeaders(endpoint),
        signal: abort.signal,
      });
      await body.dump();
      return [STATUS_OK, STATUS_NO_CONTENT, STATUS_NOT_FOUND].includes(statusCode);
    } catch {
      return false;
    } finally {
      cancelDeadline();
      await client.destroy();
    }
  };

  return {
    startStream: (endpoint, completion, handlers) =>
      openStream(endpoint, handlers, {
        method: 'POST',
        path: '/v1/completions',
        headers: {
          ...buildGroupHeaders(endpoint),
          ...buildAttemptHeaders(completion),
          'content-type': 'application/json',
          'x-priority': completion.priority,
        },
        body: formatBody(completion),
      }),
    resumeStream: (endpoint, resume, handlers) =>
      openStream(endpoint, handlers, {
        method: 'GET',
        path: `${buildStreamPath(resume.streamId)}?offset=${resume.offset}`,
        headers: { ...buildGroupHeaders(endpoint), ...buildAttemptHeaders(resume) },
      }),
    stopStream,
  };
}
