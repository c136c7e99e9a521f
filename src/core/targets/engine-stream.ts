import type { Dispatcher } from 'undici';
import { formatProblem } from '../errors/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { isConnectError } from './connect-errors.ts';
import { hasExpectedGeneration, parseMessage, parseStreamHeaders } from './engine-messages.ts';
import { createSseParser } from './sse-parser.ts';
import type { EngineEndpoint, EngineStream, EngineStreamHandlers } from './types.ts';
import { TargetFailureKind } from './types.ts';

/** Dependencies and parameters of one engine stream. */
export interface EngineStreamOptions {
  timers: TimerService;
  /** Time without data after which the stream fails as silent. */
  deadlineMs: number;
  endpoint: EngineEndpoint;
  handlers: EngineStreamHandlers;
  runRequest(signal: AbortSignal): Promise<Dispatcher.ResponseData>;
  /** Called once when the stream no longer needs its connection. */
  handleClosed?(): void;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Opens a stream to an engine and passes its events to the handlers. */
export function openEngineStream(options: EngineStreamOptions): EngineStream {
  const { timers, deadlineMs, endpoint, handlers, runRequest } = options;
  const abort = new AbortController();
  const parser = createSseParser();
  let isOpen = true;
  let cancelDeadline: Unsubscribe = () => undefined;

  const close = (): void => {
    if (!isOpen) return;
    isOpen = false;
    cancelDeadline();
    abort.abort();
    options.handleClosed?.();
  };

  const fail = (kind: TargetFailureKind, problem: string, status?: number): void => {
    if (!isOpen) return;
    close();
    handlers.handleFailure({ kind, problem, ...(status !== undefined && { status }) });
  };

  const renewDeadline = (): void => {
    cancelDeadline();
    cancelDeadline = timers.scheduleOnce(deadlineMs, () =>
      fail(TargetFailureKind.Silent, `no event or heartbeat for ${deadlineMs} ms`),
    );
  };

  const handleChunk = (chunk: Uint8Array): void => {
    if (!isOpen) return;
    renewDeadline();
    for (const event of parser.readChunk(chunk)) {
      const { token, end } = parseMessage(event);
      if (token !== undefined) handlers.handleToken(token);
      if (end !== undefined) handlers.handleEnd(end);
      // A handler may have closed the stream.
      if (!isOpen) return;
    }
  };

  /** Fails the stream and returns false when the response is unusable. */
  const checkResponse = ({ statusCode, headers }: Dispatcher.ResponseData): boolean => {
    if (statusCode === STATUS_NOT_FOUND) {
      fail(TargetFailureKind.StreamUnknown, 'the engine responded with status 404');
      return false;
    }
    if (statusCode !== STATUS_OK) {
      fail(TargetFailureKind.Refused, `the engine responded with status ${statusCode}`, statusCode);
      return false;
    }
    if (!hasExpectedGeneration(headers, endpoint)) {
      const found = `${String(headers['x-group'])}/${String(headers['x-generation'])}`;
      fail(TargetFailureKind.WrongGeneration, `the response is from group/generation ${found}`);
      return false;
    }
    return true;
  };

  const readResponse = async (): Promise<void> => {
    const response = await runRequest(abort.signal);
    if (!isOpen || !checkResponse(response)) {
      // An unhandled error event of the unread body would crash the process.
      response.body.on('error', () => undefined);
      response.body.destroy();
      return;
    }
    const streamHeaders = parseStreamHeaders(response.headers);
    if (streamHeaders === undefined) {
      fail(TargetFailureKind.Broken, 'the response has no x-stream-id header');
      return;
    }
    renewDeadline();
    handlers.handleOpen(streamHeaders);
    for await (const chunk of response.body) handleChunk(chunk as Uint8Array);
    fail(TargetFailureKind.Broken, 'the response ended without an end event');
  };

  renewDeadline();
  readResponse().catch((error: unknown) => {
    const kind = isConnectError(error) ? TargetFailureKind.NotConnected : TargetFailureKind.Broken;
    fail(kind, formatProblem(error));
  });
  return { close };
}
