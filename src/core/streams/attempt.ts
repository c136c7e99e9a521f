import type { TimerService } from '../timers/index.ts';
import { TargetFailureKind } from '../targets/index.ts';
import type {
  EndEvent,
  EngineClient,
  EngineCompletionRequest,
  EngineEndpoint,
  EngineStreamHeaders,
  EngineStream,
  EngineStreamHandlers,
  TargetFailure,
  TokenEvent,
} from '../targets/index.ts';
import {
  CALLER_GRACE_MS,
  MAX_RESUMES_WITHOUT_PROGRESS,
  MAX_STOP_TRIES,
  STOP_RETRY_MS,
} from './consts.ts';

/** Why an attempt ended without an end event. */
export interface AttemptFailure {
  problem: string;
  /** True when the target itself failed and must not receive new requests. */
  targetFailed: boolean;
  /** True when every target would refuse the request, so that a retry is useless. */
  isFinal: boolean;
}

/** Parameters of an attempt to get an answer, or the rest of it, from one target. */
export interface AttemptOptions {
  timers: TimerService;
  engine: EngineClient;
  endpoint: EngineEndpoint;
  completion: EngineCompletionRequest;
  /** Id of a running engine stream to resume; undefined to start a new one. */
  streamId?: string;
  /** Returns the offset from which the stream is resumed. */
  getNextOffset(): number;
  handleOpen(headers: EngineStreamHeaders): void;
  handleToken(event: TokenEvent): void;
  handleEnd(event: EndEvent): void;
  handleResume(problem: string): void;
  handleFailure(failure: AttemptFailure): void;
}

/** A running attempt. */
export interface Attempt {
  getStreamId(): string;
  /** Resumes the stream from the next offset over a new connection. */
  resume(problem: string): void;
  /** Closes the connection; the engine keeps the stream. */
  stopReading(): void;
  /** Resumes reading after `stopReading`. */
  startReading(): void;
  /** Ends the attempt and closes the connection without cancelling the stream at the engine. */
  close(): void;
  /** Cancels the stream. Resolves when the engine confirms it or all tries have failed. */
  stop(): Promise<void>;
  /** Gives another daemon time to take over the stream, and cancels it if none does. */
  releaseForTakeover(): Promise<void>;
}

const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY = 429;
const STATUS_SERVER_ERROR = 500;

/** Tells whether the status refuses the request itself, so that every target would refuse it. */
function isFinalStatus(status: number): boolean {
  const dependsOnTarget = status === STATUS_CONFLICT || status === STATUS_TOO_MANY;
  return status < STATUS_SERVER_ERROR && !dependsOnTarget;
}

function buildAttemptFailure({ kind, problem, status = 0 }: TargetFailure): AttemptFailure {
  const isRefused = kind === TargetFailureKind.Refused;
  const isFinal = isRefused && isFinalStatus(status);
  const isStreamFailure =
    kind === TargetFailureKind.StreamUnknown || kind === TargetFailureKind.WrongGeneration;
  const isTargetHealthy = isStreamFailure || (isRefused && status < STATUS_SERVER_ERROR);
  return { problem: `${kind}: ${problem}`, targetFailed: !isTargetHealthy, isFinal };
}

/** Starts an attempt: opens a new engine stream, or resumes the one in `streamId`. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { timers, engine, endpoint, completion } = options;
  let streamId = options.streamId ?? '';
  let resumesWithoutProgress = 0;
  let isEnded = false;
  let isAwaitingTakeover = false;
  let connection: EngineStream | undefined;
  let resolveOpening: () => void = () => undefined;

  const closeConnection = (): void => {
    connection?.close();
    connection = undefined;
  };

  const endWithFailure = (failure: TargetFailure): void => {
    closeConnection();
    if (isEnded) return;
    isEnded = true;
    options.handleFailure(buildAttemptFailure(failure));
  };

  const canResume = (kind: TargetFailureKind): boolean => {
    const isConnectionFailure =
      kind === TargetFailureKind.Silent || kind === TargetFailureKind.Broken;
    return (
      isConnectionFailure &&
      streamId !== '' &&
      !isAwaitingTakeover &&
      resumesWithoutProgress < MAX_RESUMES_WITHOUT_PROGRESS
    );
  };

  const handlers: EngineStreamHandlers = {
    handleOpen(headers) {
      streamId = headers.streamId;
      resolveOpening();
      if (!isEnded) options.handleOpen(headers);
    },
    handleToken(event) {
      if (isEnded || isAwaitingTakeover) return;
      const before = options.getNextOffset();
      options.handleToken(event);
      if (options.getNextOffset() > before) resumesWithoutProgress = 0;
    },
    handleEnd(event) {
      if (!isEnded && !isAwaitingTakeover) options.handleEnd(event);
    },
    handleFailure(failure) {
      connection = undefined;
      resolveOpening();
      if (isEnded) return;
      if (canResume(failure.kind)) resumeStream(failure.problem);
      else endWithFailure(failure);
    },
  };

  function reconnect(): void {
    closeConnection();
    const { request, attempt } = completion;
    const offset = options.getNextOffset();
    connection = engine.resumeStream(endpoint, { request, attempt, streamId, offset }, handlers);
  }

  function resumeStream(problem: string): void {
    resumesWithoutProgress++;
    options.handleResume(problem);
    reconnect();
  }

  /** Waits for the stream id, without which a stream can't be cancelled. */
  const waitForOpening = (): Promise<void> =>
    new Promise((resolve) => {
      resolveOpening = resolve;
      if (streamId !== '' || connection === undefined) resolve();
    });

  const stopAtEngine = async (): Promise<void> => {
    isEnded = true;
    await waitForOpening();
    closeConnection();
    if (streamId === '') return;
    for (let tries = 0; tries < MAX_STOP_TRIES; tries++) {
      if (await engine.stopStream(endpoint, streamId)) return;
      await timers.waitFor(STOP_RETRY_MS);
    }
  };

  if (options.streamId !== undefined) reconnect();
  else connection = engine.startStream(endpoint, completion, handlers);

  return {
    getStreamId: () => streamId,
    resume(problem) {
      if (isEnded) return;
      if (canResume(TargetFailureKind.Broken)) resumeStream(problem);
      else endWithFailure({ kind: TargetFailureKind.Broken, problem });
    },
    stopReading: closeConnection,
    startReading() {
      if (!isEnded) reconnect();
    },
    close() {
      isEnded = true;
      closeConnection();
    },
    stop: stopAtEngine,
    async releaseForTakeover() {
      isAwaitingTakeover = true;
      await timers.waitFor(CALLER_GRACE_MS);
      // If another reader took over, the engine closed this connection, which ended the attempt.
      if (!isEnded) await stopAtEngine();
    },
  };
}
