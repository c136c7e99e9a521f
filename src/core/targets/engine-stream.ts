import type { Dispatcher } from 'undici';
import { formatProblem } from '../errors/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { isNotConnected } from './connect-errors.ts';
import { isOfGeneration, parseMessage, parseOpening } from './engine-messages.ts';
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
  const checkAnswer = ({ statusCode, headers }: Dispatcher.ResponseData): boolean => {
    if (statusCode === STATUS_NOT_FOUND) {
      fail(TargetFailureKind.StreamUnknown, 'the engine responded with status 404');
      return false;
    }
    if (statusCode !== STATUS_OK) {
      fail(TargetFailureKind.Refused, `the engine responded with status ${statusCode}`, statusCode);
      return false;
    }
    if (!isOfGeneration(headers, endpoint)) {
      const found = `${String(headers['x-group'])}/${String(headers['x-generation'])}`;
      fail(TargetFailureKind.WrongGeneration, `the response is from group/generation ${found}`);
      return false;
    }
    return true;
  };

  const readAnswer = async (): Promise<void> => {
    const answer = await runRequest(abort.signal);
    if (!isOpen || !checkAnswer(answer)) {
      // An unhandled error event of the unread body would crash the process.
      answer.body.on('error', () => undefined);
      answer.body.destroy();
      return;
    }
    const opening = parseOpening(answer.headers);
    if (opening === undefined) {
      fail(TargetFailureKind.Broken, 'the response has no x-stream-id header');
      return;
    }
    renewDeadline();
    handlers.handleOpen(opening);
    for await (const chunk of answer.body) handleChunk(chunk as Uint8Array);
    fail(TargetFailureKind.Broken, 'the response ended without an end event');
  };

  renewDeadline();
  readAnswer().catch((error: unknown) => {
    const kind = isNotConnected(error) ? TargetFailureKind.NotConnected : TargetFailureKind.Broken;
    fail(kind, formatProblem(error));
  });
  return { close };
}
