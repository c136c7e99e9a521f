import type { Advisories } from '../advisories/index.ts';
import type { Target, TargetMonitor, RequestHandle } from '../fleet/index.ts';
import { isHttpStatus } from '../http/is-http-status.ts';
import type { ByteCollector, MemoryAccount } from '../memory/index.ts';
import { createByteCollector } from '../memory/index.ts';
import type { CustomerRoute, ServiceSpec } from '../serving/index.ts';
import { RequestKind } from '../serving/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import type { DemandMeter, Waiter } from '../placement/index.ts';
import { WaitEnd } from '../placement/index.ts';
import type { Quarantine } from '../quarantine/index.ts';
import type { TargetQuery } from './choose-target.ts';
import { createEventParser, isRepeatedEvent, MAX_EVENT_BYTES } from './event-parser.ts';
import type { EventParser } from './event-parser.ts';
import type { RequestState } from './next-step.ts';
import { mayRunAgain, NextStep, planNextStep, RequestEvent } from './next-step.ts';
import type { RequestPlacementOptions } from './request-placement.ts';
import { createRequestPlacement } from './request-placement.ts';
import {
  isInterim,
  isInvalidSuccess,
  isStreamHead,
  isSuccess,
  isUnprovenRefusal,
} from './response-checks.ts';
import type { RetryBudget } from './retry-budget.ts';
import type { CallerSink } from './caller-sink.ts';
import type { TargetExchange, TargetClient } from './target-client.ts';
import { SendFailure } from './target-client.ts';
import type { ResponseHead, CallerRequest, WireFormat } from './types.ts';
import { FailureReason, Outcome } from './types.ts';

/** A caller's request with the routing decision that was made when it arrived. */
export interface RoutedRequest {
  request: CallerRequest;
  body: Buffer;
  /** Memory that is held for the request and its response. */
  account: MemoryAccount;
  route: CustomerRoute;
  service: ServiceSpec;
  customer: string | undefined;
  /** Monotonic time of arrival. */
  arrivedMs: number;
  /** Version of the configuration that the routing decision is based on. */
  configurationVersion: number;
  /** Monotonic time by which the complete response is due. */
  dueMs: number;
}

/** How a forwarded request ended. */
export interface ForwardingResult {
  outcome: Outcome;
  reason: FailureReason | undefined;
  status: number | undefined;
  /** Targets that the request was sent to, in order. */
  targetIds: string[];
  /** Time from arrival to the first byte of the response. */
  firstByteMs: number | undefined;
  /** Longest pause between two parts of a stream; 0 for a response that was not streamed. */
  longestGapMs: number;
  /** How the last target that failed or refused the request did so; empty if none has. */
  lastFailure: string;
}

/** Dependencies that all forwarded requests share. */
export interface ForwardingDependencies extends RequestPlacementOptions {
  timers: TimerService;
  wire: WireFormat;
  client: TargetClient;
  monitor: TargetMonitor;
  budget: RetryBudget;
  demandMeter: Pick<DemandMeter, 'recordRequest' | 'recordAnswer'>;
  quarantine: Pick<Quarantine, 'startRequest'>;
  advisories: Pick<Advisories, 'recordSend' | 'recordAdvice'>;
  /** Called for each retry, with its reason. */
  recordRetry(request: RoutedRequest, targetId: string, reason: string): void;
  /** Called when a waiting request is refused in favour of one that arrives. */
  recordDisplacement(request: RoutedRequest, displaced: Waiter): void;
}

/** A request that is being forwarded. */
export interface ForwardedRequest {
  /** Cancels the request because the caller has closed its connection. */
  abandon(): void;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_SERVER_ERROR = 500;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;

/** Delay before a request that a target has begun next tries to find another one. */
const TARGET_CHOICE_RETRY_MS = 15;
/** An idempotent request without a response after this multiple of its objective is sent again. */
const ATTEMPT_TIMEOUT_FACTOR = 1.5;
/** Largest response that is buffered until it is complete. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/**
 * A response that is buffered must grow by this much in each attempt timeout. A target that sends a
 * byte now and then is silent; one that sends a large response over a slow link is not.
 */
const MIN_PROGRESS_BYTES = 1_024;

/** One attempt of this gateway to have the request processed by a target. */
interface Attempt {
  target: Target;
  exchange: TargetExchange;
  handle: RequestHandle;
  head: ResponseHead | undefined;
  /** Whether the target has begun to send the answer. */
  hasBegun: boolean;
  parser: EventParser | undefined;
  /** Body of a response that is buffered until it is complete. */
  collected: ByteCollector;
  bufferedBytes: number;
  /** Buffered bytes when the attempt timeout was last started. */
  checkedBytes: number;
  sentMs: number;
  wasSent: boolean;
  cancelAttemptTimeout: Unsubscribe | undefined;
}

/**
 * Forwards one request to a target and its response to the caller. Retries it on other targets as
 * far as the kind of request, the attempt limit and the shared retry budget allow. A stream resumes
 * on another target after its last event.
 */
export function forwardRequest(
  input: RoutedRequest,
  sink: CallerSink,
  dependencies: ForwardingDependencies,
  finish: (result: ForwardingResult) => void,
): ForwardedRequest {
  const { request, route, service } = input;
  const { timers, client, monitor, chooser, budget, wire, lines, serviceTimes } = dependencies;
  const { advisories } = dependencies;
  const placement = createRequestPlacement(input, dependencies);
  const guard = dependencies.quarantine.startRequest(
    {
      requestId: request.callerAttemptId ?? '',
      service: service.name,
      customer: input.customer,
      sharedPartIds: request.sharedPartIds,
    },
    refuseQuarantined,
  );
  const isStreaming = route.kind === RequestKind.Streaming;
  const isRetryable = route.kind === RequestKind.Idempotent || (isStreaming && route.isResumable);

  const triedIds = new Set<string>();
  const targetIds: string[] = [];
  let { lastEventId } = request;
  let isBodyStarted = false;
  /** Whether parts of a body go to the caller as they arrive, for want of memory to buffer it. */
  let isPassedOn = false;
  let isDone = false;
  let mayHaveRun = false;
  /** Attempts whose target may have run the request: sent and not refused. */
  let possiblyRunAttempts = 0;
  let firstByteMs: number | undefined;
  let lastPartMs: number | undefined;
  let longestGapMs = 0;
  let current: Attempt | undefined;
  /** Monotonic time at which the request arrived, or lost its last target. */
  let lostMs = input.arrivedMs;
  let cancelWait: Unsubscribe | undefined;
  let cancelDeadline: Unsubscribe | undefined;
  let lastFailure = '';

  /** Returns the buffered body and gives its memory back. */
  function takeCollected({ collected }: Attempt): Buffer {
    input.account.charge(-collected.countBytes());
    return collected.takeBytes();
  }

  function getRemainingMs(): number {
    return input.dueMs - timers.getMonotonicMs();
  }

  function endAttempt(isFailure: boolean): void {
    if (current !== undefined) takeCollected(current);
    current?.cancelAttemptTimeout?.();
    current?.handle.recordEnd(isFailure);
    current?.exchange.cancel();
    current = undefined;
  }

  function reportResult(outcome: Outcome, status?: number, reason?: FailureReason): void {
    if (isDone) return;
    isDone = true;
    cancelWait?.();
    cancelDeadline?.();
    guard.end();
    finish({
      outcome,
      reason,
      status,
      targetIds,
      firstByteMs,
      longestGapMs,
      lastFailure,
    });
  }

  function sendGatewayResponse(status: number, retryAfterMs: number | undefined): void {
    const headers = retryAfterMs === undefined ? [] : wire.buildRetryHeaders(retryAfterMs);
    sink.sendResponse(status, headers, Buffer.alloc(0));
  }

  /**
   * Ends the request without a target's response. The status says whether it may have run: 503 that
   * it has not; 502 and 504 that it may have.
   */
  function endWithoutResponse(reason: FailureReason): void {
    endAttempt(false);
    if (isBodyStarted) {
      sink.abort();
      reportResult(Outcome.BrokenOff, undefined, reason);
      return;
    }
    if (!mayHaveRun) {
      const retryAfterMs =
        reason === FailureReason.Quarantined
          ? guard.getRetryAfterMs()
          : placement.refuseRequest(reason);
      sendGatewayResponse(HTTP_UNAVAILABLE, retryAfterMs);
      reportResult(Outcome.NotRun, HTTP_UNAVAILABLE, reason);
      return;
    }
    const isLate = reason === FailureReason.TimeLimit;
    const status = isLate ? HTTP_GATEWAY_TIMEOUT : HTTP_BAD_GATEWAY;
    sendGatewayResponse(status, undefined);
    reportResult(isLate ? Outcome.TimedOut : Outcome.Unknown, status, reason);
  }

  /** Ends the request because its prompt has been quarantined; it may be at a target. */
  function refuseQuarantined(): void {
    if (isDone) return;
    mayHaveRun ||= current?.wasSent === true;
    endWithoutResponse(FailureReason.Quarantined);
  }

  function getState(): RequestState {
    return {
      isRetryable,
      isPassedOn,
      mayHaveRun,
      isHalfDone: isBodyStarted,
      possiblyRunAttempts,
      maxAttempts: route.maxAttempts,
      sends: targetIds.length,
      remainingMs: getRemainingMs(),
      waitedMs: timers.getMonotonicMs() - lostMs,
      firstEventMs: serviceTimes.getFirstEventMs(placement.key),
    };
  }

  /** Does what follows from an event. */
  function stepAfter(event: RequestEvent, failure?: FailureReason): void {
    if (isDone) return;
    const plan = planNextStep(event, getState(), failure);
    if (plan.step === NextStep.End) endWithoutResponse(plan.reason);
    else if (plan.step === NextStep.Try) startAttempt();
    else if (plan.step === NextStep.WaitForPlace) waitForPlace();
    else {
      const tryAgain = (): void => stepAfter(RequestEvent.Due);
      cancelWait = timers.scheduleOnce(TARGET_CHOICE_RETRY_MS, tryAgain);
    }
  }

  /** Waits for a place at a target, or refuses the request at once if none will be free in time. */
  function waitForPlace(): void {
    const { giveUpMs, reason, displaced } = placement.planWait(
      placement.buildQuery(mayHaveRun, triedIds),
    );
    const giveUp = (end: WaitEnd): void => {
      const refusal = end === WaitEnd.Displaced ? FailureReason.Displaced : reason;
      endWithoutResponse(client.hasFreeConnection() ? refusal : FailureReason.NoConnection);
    };
    if (giveUpMs === undefined) {
      giveUp(WaitEnd.TimeIsUp);
      return;
    }
    if (displaced !== undefined) {
      dependencies.recordDisplacement(input, displaced);
      lines.refuse(placement.key, displaced);
    }
    cancelWait = lines.add(placement.key, {
      ...placement.buildRank(),
      giveUpMs,
      tryStart: () => tryStartAttempt(placement.buildQuery(mayHaveRun, triedIds)),
      giveUp,
    });
  }

  function startAttempt(): void {
    const hasStarted = tryStartAttempt(placement.buildQuery(mayHaveRun, triedIds));
    if (!hasStarted) stepAfter(RequestEvent.NoPlace);
  }

  /** Sends the request if a target can take it; returns whether the wait for a target is over. */
  function tryStartAttempt(query: TargetQuery): boolean {
    if (!guard.admit()) {
      endWithoutResponse(FailureReason.Quarantined);
      return true;
    }
    const target = client.hasFreeConnection() ? chooser.chooseTarget(query) : undefined;
    if (target === undefined) return false;
    if (targetIds.length > 0) {
      if (!budget.takeRetry(service.name)) {
        endWithoutResponse(FailureReason.RetryBudget);
        return true;
      }
      dependencies.recordRetry(input, target.id, lastFailure);
    }
    sendTo(target);
    return true;
  }

  /** Tries another target after a failed attempt, if the request allows it. */
  function retry(reason: string, failure: FailureReason): void {
    lastFailure = reason;
    lostMs = timers.getMonotonicMs();
    stepAfter(RequestEvent.AttemptEnded, failure);
  }

  function sendTo(target: Target): void {
    triedIds.add(target.id);
    const attempt: Attempt = {
      target,
      // Set below, as the callbacks of the exchange need the attempt.
      exchange: undefined as unknown as TargetExchange,
      handle: monitor.startRequest(target.id, { handleSilence: () => handleSilence(attempt) }),
      head: undefined,
      hasBegun: false,
      parser: undefined,
      collected: createByteCollector(),
      bufferedBytes: 0,
      checkedBytes: 0,
      sentMs: timers.getMonotonicMs(),
      wasSent: false,
      cancelAttemptTimeout: undefined,
    };
    current = attempt;
    const remainingMs = getRemainingMs();
    attempt.exchange = client.send(
      {
        request,
        body: input.body,
        target,
        remainingMs,
        customer: input.customer,
        lastEventId,
        isUrgent: mayHaveRun,
      },
      {
        handleSent: () => handleSent(attempt),
        handleHead: (head) => handleHead(attempt, head),
        handleData: (chunk) => handleData(attempt, chunk),
        handleEnd: (isFramed) => handleEnd(attempt, isFramed),
        handleError: (failure, problem) => handleError(attempt, failure, problem),
      },
    );
  }

  function handleSent(attempt: Attempt): void {
    attempt.wasSent = true;
    possiblyRunAttempts++;
    advisories.recordSend(attempt.target.id, targetIds.length > 0);
    targetIds.push(attempt.target.id);
    if (route.kind === RequestKind.Idempotent) startAttemptTimeout(attempt);
  }

  function startAttemptTimeout(attempt: Attempt): void {
    const delayMs = route.latencyObjectiveMs * ATTEMPT_TIMEOUT_FACTOR;
    attempt.cancelAttemptTimeout = timers.scheduleOnce(delayMs, () => {
      if (attempt.bufferedBytes - attempt.checkedBytes < MIN_PROGRESS_BYTES) handleSilence(attempt);
      if (attempt !== current) return;
      attempt.checkedBytes = attempt.bufferedBytes;
      startAttemptTimeout(attempt);
    });
  }

  /**
   * Moves a request to another target when its target is silent. Does so only if the request may run
   * again, an attempt and a retry of the budget are left, and another target can accept it now;
   * otherwise the request goes on waiting for the silent target.
   */
  function handleSilence(attempt: Attempt): void {
    if (isDone || attempt !== current || !attempt.wasSent) return;
    if (!mayRunAgain(getState()) || !budget.hasRetry(service.name)) return;
    if (chooser.countReadyTargets({ service, model: request.model, triedIds }) === 0) return;
    mayHaveRun = true;
    endAttempt(true);
    retry('silent', FailureReason.TargetFailed);
  }

  function handleHead(attempt: Attempt, head: ResponseHead): void {
    if (attempt !== current || isInterim(head)) return;
    attempt.head = head;
    const isForOtherAttempt =
      head.callerAttemptId !== undefined && head.callerAttemptId !== request.callerAttemptId;
    const isOwn = !isForOtherAttempt && isHttpStatus(head.status);
    if (isOwn) advisories.recordAdvice(attempt.target, head.advice, attempt.sentMs);
    if (!isOwn || isInvalidSuccess(head)) {
      failAttempt(attempt, 'spoiled');
      return;
    }
    if (isStreaming && isSuccess(head) && isStreamHead(head)) {
      attempt.parser = createEventParser();
    }
  }

  /** Ends an attempt whose request may have run, and tries another target if allowed. */
  function failAttempt(attempt: Attempt, reason: string): void {
    if (attempt !== current) return;
    mayHaveRun ||= attempt.wasSent;
    endAttempt(true);
    retry(reason, FailureReason.TargetFailed);
  }

  /** Fails an attempt whose target closed the connection before the response was complete. */
  function failLostAttempt(attempt: Attempt, problem: string): void {
    if (attempt !== current) return;
    guard.recordLost(attempt.target, attempt.hasBegun);
    failAttempt(attempt, problem);
  }

  function recordBegun(attempt: Attempt): void {
    attempt.hasBegun = true;
    guard.recordBegun();
  }

  function handleData(attempt: Attempt, chunk: Buffer): void {
    if (attempt !== current) return;
    if (attempt.parser !== undefined) {
      forwardEvents(attempt, attempt.parser, chunk);
      return;
    }
    recordBegun(attempt);
    attempt.handle.recordData();
    attempt.bufferedBytes += chunk.length;
    if (attempt.bufferedBytes > MAX_BUFFERED_BYTES) {
      failAttempt(attempt, 'too-large');
      return;
    }
    if (isPassedOn) {
      writePart(attempt, chunk);
      return;
    }
    // A body that is not passed on need not be kept.
    if (attempt.head === undefined || attempt.head.isNotRun || isUnusable(attempt.head)) return;
    if (input.account.tryReserve(chunk.length)) {
      attempt.collected.addChunk(chunk);
      return;
    }
    passOn(attempt, chunk);
  }

  /**
   * Starts to pass a body on as it arrives, because there is no memory to buffer it whole. The request
   * can't be sent to another target from then on.
   */
  function passOn(attempt: Attempt, chunk: Buffer): void {
    if (isBodyStarted) {
      failAttempt(attempt, `status ${attempt.head?.status ?? 0}`);
      return;
    }
    attempt.cancelAttemptTimeout?.();
    startBody(attempt);
    isPassedOn = true;
    writePart(attempt, Buffer.concat([takeCollected(attempt), chunk]));
  }

  /** Writes a part of the body; stops reading from the target while the caller is slow. */
  function writePart(attempt: Attempt, bytes: Buffer): void {
    if (sink.writeBody(bytes)) return;
    attempt.exchange.pause();
    attempt.handle.setPaused(true);
    sink.onWritable(() => {
      attempt.handle.setPaused(false);
      attempt.exchange.resume();
    });
  }

  /** Whether a target's response fails its attempt, so that it never goes to the caller. */
  function isUnusable(head: ResponseHead): boolean {
    const canRetry = mayRunAgain(getState()) && head.status >= HTTP_SERVER_ERROR;
    return isUnprovenRefusal(head) || canRetry;
  }

  function forwardEvents(attempt: Attempt, parser: EventParser, chunk: Buffer): void {
    const parts: Buffer[] = [];
    const events = parser.addChunk(chunk);
    if (parser.countPendingBytes() > MAX_EVENT_BYTES) {
      failAttempt(attempt, 'too-large');
      return;
    }
    // Events show that the target is alive; bytes that complete none do not.
    if (events.some(({ id }) => id !== undefined)) {
      recordBegun(attempt);
      attempt.handle.recordData();
    }
    for (const event of events) {
      if (isRepeatedEvent(event.id, lastEventId)) continue;
      lastEventId = event.id ?? lastEventId;
      parts.push(event.bytes);
    }
    if (parts.length === 0) return;
    if (!isBodyStarted) {
      serviceTimes.recordFirstEvent(placement.key, timers.getMonotonicMs() - attempt.sentMs);
    }
    startBody(attempt);
    const now = timers.getMonotonicMs();
    longestGapMs = Math.max(longestGapMs, now - (lastPartMs ?? now));
    lastPartMs = now;
    writePart(attempt, parts.length === 1 ? parts[0]! : Buffer.concat(parts));
  }

  function startBody(attempt: Attempt): void {
    if (isBodyStarted || attempt.head === undefined) return;
    isBodyStarted = true;
    firstByteMs = timers.getMonotonicMs() - input.arrivedMs;
    sink.startBody(attempt.head.status, attempt.head.forwardedHeaders);
  }

  function handleEnd(attempt: Attempt, isFramed: boolean): void {
    if (attempt !== current || attempt.head === undefined) return;
    const { head } = attempt;
    if (head.isNotRun) {
      handleRefusal(attempt, head);
      return;
    }
    if (attempt.parser !== undefined) {
      endStream(attempt, attempt.parser, isFramed);
      return;
    }
    if ((isBodyStarted && !isPassedOn) || isUnusable(head)) {
      markFaulty(attempt, head);
      failAttempt(attempt, `status ${head.status}`);
      return;
    }
    current = undefined;
    attempt.cancelAttemptTimeout?.();
    attempt.handle.recordEnd(head.status >= HTTP_SERVER_ERROR);
    if (isPassedOn) sink.endBody();
    else sendBuffered(attempt, head);
    reportResult(Outcome.Answered, head.status);
  }

  function sendBuffered(attempt: Attempt, head: ResponseHead): void {
    firstByteMs = timers.getMonotonicMs() - input.arrivedMs;
    // The sink takes over the charge for what the caller does not take at once.
    sink.sendResponse(head.status, head.forwardedHeaders, takeCollected(attempt));
  }

  function endStream(attempt: Attempt, parser: EventParser, isFramed: boolean): void {
    if (parser.countPendingBytes() > 0) {
      failLostAttempt(attempt, 'ended inside an event');
      return;
    }
    // Without framing, the end of a target's process looks like the end of its stream.
    if (!isFramed && !attempt.hasBegun) {
      failLostAttempt(attempt, 'ended before the first event');
      return;
    }
    startBody(attempt);
    current = undefined;
    attempt.handle.recordEnd(false);
    placement.recordDuration(timers.getMonotonicMs() - attempt.sentMs);
    dependencies.demandMeter.recordAnswer(placement.key, parser.countEvents());
    lines.serve(placement.key);
    sink.endBody();
    reportResult(Outcome.Answered, attempt.head?.status);
  }

  /** Suspects the target of a group whose response names the engine at fault. */
  function markFaulty({ target }: Attempt, { status, faultyTargetId }: ResponseHead): void {
    if (faultyTargetId === undefined || service.engine === undefined) return;
    monitor.markSuspect(target.id, `answered ${status}, fault at ${faultyTargetId}`);
  }

  /** Handles a refusal: the target has not run the request, so the attempt does not count. */
  function handleRefusal(attempt: Attempt, head: ResponseHead): void {
    possiblyRunAttempts--;
    markFaulty(attempt, head);
    endAttempt(false);
    retry(`refused with ${head.status}`, FailureReason.RefusedByTarget);
  }

  function handleError(attempt: Attempt, failure: SendFailure, problem: string): void {
    if (attempt !== current) return;
    if (failure === SendFailure.Unsendable) {
      endAttempt(false);
      sendGatewayResponse(HTTP_BAD_REQUEST, undefined);
      reportResult(Outcome.Rejected, HTTP_BAD_REQUEST, FailureReason.Unsendable);
      return;
    }
    if (failure === SendFailure.NoResources) {
      endAttempt(false);
      triedIds.delete(attempt.target.id);
      lastFailure = problem;
      lostMs = timers.getMonotonicMs();
      stepAfter(RequestEvent.Due);
      return;
    }
    if (failure === SendFailure.Sent) {
      failLostAttempt(attempt, problem);
      return;
    }
    monitor.markSuspect(attempt.target.id, problem);
    failAttempt(attempt, problem);
  }

  cancelDeadline = timers.scheduleOnce(Math.max(0, getRemainingMs()), () => {
    if (current?.wasSent === true) mayHaveRun = true;
    endWithoutResponse(FailureReason.TimeLimit);
  });
  budget.recordRequest(service.name);
  if (service.engine !== undefined) {
    dependencies.demandMeter.recordRequest(placement.key, input.request.promptTokens);
  }
  placement.recordArrival();
  stepAfter(RequestEvent.Due);

  return {
    abandon() {
      if (isDone) return;
      endAttempt(false);
      reportResult(Outcome.Abandoned);
    },
  };
}
