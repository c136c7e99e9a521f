import { createError, ErrorKind } from '../errors/index.ts';
import type { Placement } from '../routing/index.ts';
import type { Unsubscribe } from '../timers/index.ts';
import type { EngineStreamHeaders, EndEvent, TokenEvent } from '../targets/index.ts';
import { applyAnswerEvent, AnswerAction, createAnswerState } from './answer-state.ts';
import type { AnswerEvent } from './answer-state.ts';
import { AnswerPhase } from './answer-phase.ts';
import { startAttempt } from './attempt.ts';
import type { Attempt, AttemptFailure } from './attempt.ts';
import {
  CONTINUE_UNDELIVERED_BYTES,
  MAX_FAILED_ATTEMPTS,
  MAX_HELD_BYTES,
  MAX_COMPRESSED_BYTES,
  MAX_UNDELIVERED_BYTES,
} from './consts.ts';
import { startDelivery } from './delivery.ts';
import { buildAttemptId, encodeResumeToken } from './resume-token.ts';
import { createTokenLog } from './token-log.ts';
import { AnswerOutcome, getEngineEndpoint } from './types.ts';
import type { AnswerOptions, AnswerStream } from './types.ts';

/**
 * Creates and starts an answer stream. The caller receives every token exactly once and in order,
 * followed by the end or an error event, even if targets fail in the meantime.
 */
export function createAnswerStream(options: AnswerOptions): AnswerStream {
  const { dependencies, request, sink, resumePoint } = options;
  const { timers, budget } = dependencies;
  const deliveredOffset = resumePoint === undefined ? 0 : resumePoint.offset + 1;
  // A resumed attempt that holds the answer from its start is read again in full, so that another
  // target can continue the answer.
  const startOffset = resumePoint?.firstOffset === 0 ? 0 : deliveredOffset;
  const tokenLog = createTokenLog(startOffset);
  const excludedVms = new Set<string>();
  let state = createAnswerState(request.id, startOffset);
  let phase = AnswerPhase.Reading;
  let failedAttempts = 0;
  let attempt: Attempt | undefined;
  let placement: Placement | undefined;
  let latestResumePoint = resumePoint;
  let unsubscribeBudget: Unsubscribe = () => undefined;
  let pendingStops: Promise<unknown> = Promise.resolve();
  let resolveFinished: (end: AnswerOutcome) => void = () => undefined;
  const finished = new Promise<AnswerOutcome>((resolve) => {
    resolveFinished = resolve;
  });

  const delivery = startDelivery({
    timers,
    budget,
    log: tokenLog,
    sink,
    firstOffset: deliveredOffset,
    formatResumeToken: (offset) =>
      latestResumePoint === undefined ? '' : encodeResumeToken({ ...latestResumePoint, offset }),
    handleProgress,
    handleFinished,
  });

  const record = (kind: string, details: Record<string, string | number> = {}): void => {
    dependencies.metrics.increment(`streams.${kind}`);
    dependencies.events.record('streams', kind, {
      request: request.id,
      ...(state.attempt !== '' && { attempt: state.attempt }),
      ...(placement !== undefined && { target: placement.target.vm }),
      offset: state.nextOffset,
      ...details,
    });
  };

  const releasePlacement = (): void => {
    placement?.release();
    placement = undefined;
    attempt = undefined;
  };

  /**
   * Cancels the attempt. Its placement is released only when the engine has confirmed the
   * cancellation or all tries have failed.
   */
  const stopAttempt = (stop: (running: Attempt) => Promise<void>): void => {
    const held = placement;
    if (attempt !== undefined && held !== undefined) {
      pendingStops = Promise.all([pendingStops, stop(attempt).finally(() => held.release())]);
    }
    attempt = undefined;
    placement = undefined;
  };

  /**
   * Tells whether another target can continue the answer. This requires all tokens that the caller
   * already has, because another engine would not generate the same ones.
   */
  const canContinue = (): boolean =>
    startOffset === 0 && tokenLog.isComplete() && tokenLog.getEndOffset() >= deliveredOffset;

  const getHeldBytes = (): number => tokenLog.getBytes() + sink.getBufferedBytes();

  const fail = (problem: string): void => {
    record('broken', { problem });
    phase = AnswerPhase.Draining;
    const details = { requestId: request.id, offset: state.nextOffset, problem };
    const kind = canContinue() ? ErrorKind.StreamBroken : ErrorKind.StreamLost;
    delivery.fail(createError(kind, details));
  };

  const findPlacement = async (): Promise<void> => {
    phase = AnswerPhase.Placing;
    const { placement: found, refusal } = await options.acquirePlacement(excludedVms);
    if (phase !== AnswerPhase.Placing) {
      found?.release();
      return;
    }
    if (found !== undefined) startAttemptOn(found);
    else fail(refusal.reason ?? `the customer limit on ${refusal.limit} is reached`);
  };

  const startPlacing = (): void => {
    findPlacement().catch((error: unknown) => fail(String(error)));
  };

  const handleAttemptFailure = (failure: AttemptFailure): void => {
    if (phase !== AnswerPhase.Reading || placement === undefined) return;
    const { vm } = placement.target;
    record('target-lost', { problem: failure.problem });
    if (failure.targetFailed) dependencies.reportObservation({ vm, failed: true });
    releasePlacement();
    excludedVms.add(vm);
    failedAttempts++;
    if (failure.isFinal) fail(`the engine refused the request (${failure.problem})`);
    else if (!canContinue())
      fail('the target was lost, and this daemon does not hold the earlier tokens');
    else if (failedAttempts >= MAX_FAILED_ATTEMPTS) fail(`${failedAttempts} attempts failed`);
    else startPlacing();
  };

  /** Frees engine memory when the caller reads too slowly; the rest is requested later. */
  const checkUndelivered = (): void => {
    if (phase !== AnswerPhase.Reading || !delivery.isBlocked()) return;
    const isOver =
      delivery.getUndeliveredBytes() > MAX_UNDELIVERED_BYTES || getHeldBytes() > MAX_HELD_BYTES;
    if (!isOver && !budget.isExceeded()) return;
    if (tokenLog.getCompressedBytes() > MAX_COMPRESSED_BYTES) tokenLog.dropCompressed();
    phase = canContinue() ? AnswerPhase.Paused : AnswerPhase.Parked;
    record(phase, { undelivered: delivery.getUndeliveredBytes() });
    if (phase === AnswerPhase.Parked) attempt?.stopReading();
    else stopAttempt((running) => running.stop());
    // Another stream may free the budget while this one has nothing left to deliver.
    unsubscribeBudget = budget.subscribe(handleProgress);
  };

  function handleProgress(): void {
    if (phase !== AnswerPhase.Paused && phase !== AnswerPhase.Parked) return;
    if (!budget.canContinueStreams() || delivery.getUndeliveredBytes() > CONTINUE_UNDELIVERED_BYTES)
      return;
    unsubscribeBudget();
    record('continued');
    if (phase === AnswerPhase.Paused) {
      startPlacing();
      return;
    }
    phase = AnswerPhase.Reading;
    attempt?.startReading();
  }

  const applyEvent = (event: AnswerEvent): AnswerAction => {
    const { state: next, action } = applyAnswerEvent(state, event);
    state = next;
    if (action === AnswerAction.Drop) record('event-dropped', { kind: event.kind });
    if (action === AnswerAction.Resume) attempt?.resume('tokens are missing');
    return action;
  };

  const handleToken = (token: TokenEvent): void => {
    if (phase !== AnswerPhase.Reading) return;
    if (applyEvent({ kind: 'token', token }) !== AnswerAction.Accept) return;
    delivery.handleAdded(token.offset, tokenLog.add(token.text));
    checkUndelivered();
  };

  const handleEnd = (end: EndEvent): void => {
    if (phase !== AnswerPhase.Reading) return;
    const action = applyEvent({ kind: 'end', end });
    if (action === AnswerAction.Reject) {
      const problem = `the end event names ${end.total} tokens, but ${state.nextOffset} arrived`;
      attempt?.close();
      handleAttemptFailure({ problem, targetFailed: false, isFinal: false });
    }
    if (action !== AnswerAction.Complete) return;
    attempt?.close();
    record('complete', { total: end.total });
    releasePlacement();
    phase = AnswerPhase.Draining;
    delivery.finish(end.total);
  };

  const handleOpen = (headers: EngineStreamHeaders): void => {
    if (placement === undefined) return;
    const { vm } = placement.target;
    const { instanceId, warm, load } = headers;
    dependencies.reportObservation({ vm, instanceId, warm, ...(load !== undefined && { load }) });
    if (latestResumePoint !== undefined)
      latestResumePoint = { ...latestResumePoint, streamId: headers.streamId };
    record('opened', { stream: headers.streamId });
  };

  function startAttemptOn(found: Placement, point = undefined as typeof resumePoint): void {
    phase = AnswerPhase.Reading;
    placement = found;
    const id = point?.attempt ?? buildAttemptId(request.id, dependencies.createId());
    const { vm, group, generation } = getEngineEndpoint(found);
    const firstOffset = point?.firstOffset ?? state.nextOffset;
    const streamId = point?.streamId ?? '';
    latestResumePoint = { vm, group, generation, streamId, attempt: id, firstOffset, offset: 0 };
    state = applyAnswerEvent(state, { kind: 'attempt', attempt: id }).state;
    record(point === undefined ? 'attempt-started' : 'attempt-resumed');
    attempt = startAttempt({
      timers,
      engine: dependencies.engine,
      endpoint: getEngineEndpoint(found),
      completion: {
        request: request.id,
        attempt: id,
        priority: request.priority,
        model: request.model,
        prompt: request.prompt,
        maxTokens: request.maxTokens,
        continuation: tokenLog.list(),
      },
      ...(point !== undefined && { streamId: point.streamId }),
      getNextOffset: () => state.nextOffset,
      handleOpen,
      handleToken,
      handleEnd,
      handleResume: (problem) => record('resumed', { problem }),
      handleFailure: handleAttemptFailure,
    });
  }

  function handleFinished(isCallerGone: boolean): void {
    const isBroken = state.total === undefined;
    const outcome = isBroken ? AnswerOutcome.Broken : AnswerOutcome.Complete;
    if (isCallerGone) {
      record('caller-gone');
      stopAttempt((running) => running.releaseForTakeover());
    }
    phase = AnswerPhase.Closed;
    unsubscribeBudget();
    void pendingStops.finally(() =>
      resolveFinished(isCallerGone ? AnswerOutcome.CallerGone : outcome),
    );
  }

  startAttemptOn(options.placement, resumePoint);

  return {
    finished,
    countTokens: () => tokenLog.getEndOffset() - startOffset,
    getHeldBytes,
  };
}
