import { createError, ErrorKind } from '../errors/index.ts';
import type { Placement } from '../routing/index.ts';
import type { Unsubscribe } from '../timers/index.ts';
import type { EngineStreamHeaders, EndEvent, TokenEvent } from '../targets/index.ts';
import { applyAnswerEvent, AnswerStep, createAnswerState } from './answer-state.ts';
import type { AnswerEvent } from './answer-state.ts';
import { Phase } from './answer-phase.ts';
import { startAttempt } from './attempt.ts';
import type { Attempt, AttemptLoss } from './attempt.ts';
import {
  CONTINUE_UNDELIVERED_BYTES,
  MAX_FAILED_ATTEMPTS,
  MAX_HELD_BYTES,
  MAX_PACKED_BYTES,
  MAX_UNDELIVERED_BYTES,
} from './consts.ts';
import { startDelivery } from './delivery.ts';
import { buildAttemptId, encodeResumeToken } from './resume-token.ts';
import { createTokenLog } from './token-log.ts';
import { AnswerEnd, getEngineEndpoint } from './types.ts';
import type { AnswerOptions, AnswerStream } from './types.ts';

/**
 * Creates and starts an answer stream. The caller receives every token exactly once and in order,
 * followed by the end or an error event, even if targets fail in the meantime.
 */
export function createAnswerStream(options: AnswerOptions): AnswerStream {
  const { parts, request, sink, resumePoint } = options;
  const { timers, budget } = parts;
  const deliveredOffset = resumePoint === undefined ? 0 : resumePoint.offset + 1;
  // A resumed attempt that holds the answer from its start is read again in full, so that another
  // target can continue the answer.
  const startOffset = resumePoint?.firstOffset === 0 ? 0 : deliveredOffset;
  const log = createTokenLog(startOffset);
  const excludedVms = new Set<string>();
  let state = createAnswerState(request.id, startOffset);
  let phase = Phase.Reading;
  let failedAttempts = 0;
  let attempt: Attempt | undefined;
  let placement: Placement | undefined;
  let latestPoint = resumePoint;
  let stopWaiting: Unsubscribe = () => undefined;
  let pending: Promise<unknown> = Promise.resolve();
  let settleFinished: (end: AnswerEnd) => void = () => undefined;
  const finished = new Promise<AnswerEnd>((resolve) => {
    settleFinished = resolve;
  });

  const delivery = startDelivery({
    timers,
    budget,
    log,
    sink,
    firstOffset: deliveredOffset,
    formatResumeToken: (offset) =>
      latestPoint === undefined ? '' : encodeResumeToken({ ...latestPoint, offset }),
    handleProgress,
    handleFinished,
  });

  const record = (kind: string, details: Record<string, string | number> = {}): void => {
    parts.metrics.increment(`streams.${kind}`);
    parts.events.record('streams', kind, {
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

  /** Cancels the attempt. The placement is released only after `stop` has settled. */
  const stopAttempt = (stop: (running: Attempt) => Promise<void>): void => {
    const held = placement;
    if (attempt !== undefined && held !== undefined) {
      pending = Promise.all([pending, stop(attempt).finally(() => held.release())]);
    }
    attempt = undefined;
    placement = undefined;
  };

  /**
   * Tells whether another target can continue the answer. This requires all tokens that the caller
   * already has, because another engine would not generate the same ones.
   */
  const canContinue = (): boolean =>
    startOffset === 0 && log.isWhole() && log.getEndOffset() >= deliveredOffset;

  const getHeldBytes = (): number => log.getBytes() + sink.getBufferedBytes();

  const fail = (problem: string): void => {
    record('broken', { problem });
    phase = Phase.Draining;
    const details = { requestId: request.id, offset: state.nextOffset, problem };
    const kind = canContinue() ? ErrorKind.StreamBroken : ErrorKind.StreamLost;
    delivery.fail(createError(kind, details));
  };

  const place = async (): Promise<void> => {
    phase = Phase.Placing;
    const { placement: found, refusal } = await options.acquirePlacement(excludedVms);
    if (phase !== Phase.Placing) {
      found?.release();
      return;
    }
    if (found !== undefined) startOn(found);
    else fail(refusal.reason ?? `the customer limit on ${refusal.limit} is reached`);
  };

  const startPlacing = (): void => {
    place().catch((error: unknown) => fail(String(error)));
  };

  const handleLost = (loss: AttemptLoss): void => {
    if (phase !== Phase.Reading || placement === undefined) return;
    const { vm } = placement.target;
    record('target-lost', { problem: loss.problem });
    if (loss.targetFailed) parts.handleSign({ vm, failed: true });
    releasePlacement();
    excludedVms.add(vm);
    failedAttempts++;
    if (loss.isFinal) fail(`the engine refused the request (${loss.problem})`);
    else if (!canContinue())
      fail('the target was lost, and this daemon does not hold the earlier tokens');
    else if (failedAttempts >= MAX_FAILED_ATTEMPTS) fail(`${failedAttempts} attempts failed`);
    else startPlacing();
  };

  /** Frees engine memory when the caller reads too slowly; the rest is requested later. */
  const checkUndelivered = (): void => {
    if (phase !== Phase.Reading || !delivery.isBlocked()) return;
    const isOver =
      delivery.getUndeliveredBytes() > MAX_UNDELIVERED_BYTES || getHeldBytes() > MAX_HELD_BYTES;
    if (!isOver && !budget.isExceeded()) return;
    if (log.getPackedBytes() > MAX_PACKED_BYTES) log.dropPacked();
    phase = canContinue() ? Phase.Paused : Phase.Parked;
    record(phase, { undelivered: delivery.getUndeliveredBytes() });
    if (phase === Phase.Parked) attempt?.stopReading();
    else stopAttempt((running) => running.stop());
    // Another stream may free the budget while this one has nothing left to deliver.
    stopWaiting = budget.subscribe(handleProgress);
  };

  function handleProgress(): void {
    if (phase !== Phase.Paused && phase !== Phase.Parked) return;
    if (!budget.hasRoom() || delivery.getUndeliveredBytes() > CONTINUE_UNDELIVERED_BYTES) return;
    stopWaiting();
    record('continued');
    if (phase === Phase.Paused) {
      startPlacing();
      return;
    }
    phase = Phase.Reading;
    attempt?.startReading();
  }

  const applyEvent = (event: AnswerEvent): AnswerStep => {
    const { state: next, step } = applyAnswerEvent(state, event);
    state = next;
    if (step === AnswerStep.Drop) record('event-dropped', { kind: event.kind });
    if (step === AnswerStep.Resume) attempt?.resume('tokens are missing');
    return step;
  };

  const handleToken = (token: TokenEvent): void => {
    if (phase !== Phase.Reading) return;
    if (applyEvent({ kind: 'token', token }) !== AnswerStep.Accept) return;
    delivery.handleAdded(token.offset, log.add(token.text));
    checkUndelivered();
  };

  const handleEnd = (end: EndEvent): void => {
    if (phase !== Phase.Reading) return;
    const step = applyEvent({ kind: 'end', end });
    if (step === AnswerStep.Reject) {
      const problem = `the end event names ${end.total} tokens, but ${state.nextOffset} arrived`;
      attempt?.close();
      handleLost({ problem, targetFailed: false, isFinal: false });
    }
    if (step !== AnswerStep.Complete) return;
    attempt?.close();
    record('complete', { total: end.total });
    releasePlacement();
    phase = Phase.Draining;
    delivery.finish(end.total);
  };

  const handleOpen = (opening: EngineStreamHeaders): void => {
    if (placement === undefined) return;
    const { vm } = placement.target;
    const { instanceId, warm, load } = opening;
    parts.handleSign({ vm, instanceId, warm, ...(load !== undefined && { load }) });
    if (latestPoint !== undefined) latestPoint = { ...latestPoint, streamId: opening.streamId };
    record('opened', { stream: opening.streamId });
  };

  function startOn(found: Placement, point = undefined as typeof resumePoint): void {
    phase = Phase.Reading;
    placement = found;
    const id = point?.attempt ?? buildAttemptId(request.id, parts.createId());
    const { vm, group, generation } = getEngineEndpoint(found);
    const firstOffset = point?.firstOffset ?? state.nextOffset;
    const streamId = point?.streamId ?? '';
    latestPoint = { vm, group, generation, streamId, attempt: id, firstOffset, offset: 0 };
    state = applyAnswerEvent(state, { kind: 'attempt', attempt: id }).state;
    record(point === undefined ? 'attempt-started' : 'attempt-resumed');
    attempt = startAttempt({
      timers,
      engine: parts.engine,
      endpoint: getEngineEndpoint(found),
      completion: {
        request: request.id,
        attempt: id,
        priority: request.priority,
        model: request.model,
        prompt: request.prompt,
        maxTokens: request.maxTokens,
        continuation: log.list(),
      },
      ...(point !== undefined && { streamId: point.streamId }),
      getNextOffset: () => state.nextOffset,
      handleOpen,
      handleToken,
      handleEnd,
      handleResume: (problem) => record('resumed', { problem }),
      handleLost,
    });
  }

  function handleFinished(isCallerGone: boolean): void {
    const isBroken = state.total === undefined;
    const kept = isBroken ? AnswerEnd.Broken : AnswerEnd.Complete;
    if (isCallerGone) {
      record('caller-gone');
      stopAttempt((running) => running.release());
    }
    phase = Phase.Closed;
    stopWaiting();
    void pending.finally(() => settleFinished(isCallerGone ? AnswerEnd.CallerGone : kept));
  }

  startOn(options.placement, resumePoint);

  return {
    finished,
    countTokens: () => log.getEndOffset() - startOffset,
    getHeldBytes,
  };
}
