import { formatProblem } from '../errors/index.ts';
import type { CallResult, ForwardCallRequest } from '../rpc/index.ts';
import { CallOutcome } from '../rpc/index.ts';
import type { CallLedger } from './call-ledger.ts';
import { RequestIdStatus } from './call-ledger.ts';
import { CallAction, CallEventKind } from './call-state.ts';
import { MAX_CALL_TARGETS } from './consts.ts';
import {
  buildDoneResult,
  buildNotRunResult,
  buildRunningResult,
  buildUnknownResult,
  createRefusalError,
  STATUS_LIMIT_REACHED,
} from './results.ts';
import { sendCall } from './send-call.ts';
import type { CallDependencies } from './types.ts';

/** Runs non-idempotent calls whose ids this daemon issued, each at most once. */
export interface CallOwner {
  runCall(call: ForwardCallRequest): Promise<CallResult>;
  /** Returns the outcome of a call; an id without a record is closed and never runs. */
  lookUpCall(requestId: string): CallResult;
  /** Returns the number of calls in progress. */
  countRunning(): number;
}

const OUTCOME_NAMES: Partial<Record<CallOutcome, string>> = {
  [CallOutcome.DONE]: 'done',
  [CallOutcome.NOT_RUN]: 'not-run',
  [CallOutcome.UNKNOWN]: 'unknown',
};

const REASON_FULL =
  'The call ledger of the daemon is full. Ids with this prefix are rejected; request a new prefix.';
const REASON_EXPIRED = 'The prefix of the request id has expired; the call may have run earlier.';
const REASON_NOT_RECEIVED =
  'The call has not been received. Its request id is closed; use a new one.';

/** Creates the component that runs the calls whose ids this daemon issued. */
export function createCallOwner(dependencies: CallDependencies, ledger: CallLedger): CallOwner {
  let running = 0;

  const recordEvent = (
    kind: string,
    request: string,
    details: Record<string, string> = {},
  ): void => {
    dependencies.metrics.increment(`calls.${kind}`);
    dependencies.events.record('calls', kind, { request, ...details });
  };

  const buildRefusal = (
    call: ForwardCallRequest,
    refusal: Parameters<typeof createRefusalError>[0],
  ): CallResult => {
    const { message } = createRefusalError(refusal, call.customer, call.service);
    const status = refusal.limit === undefined ? undefined : STATUS_LIMIT_REACHED;
    return buildNotRunResult(call.requestId, message, refusal.retryAfterMs, status);
  };

  const createEndHandler = (
    kind: CallEventKind.Refused | CallEventKind.Answered | CallEventKind.ResponseLost,
  ) =>
    function endCall(result: CallResult): CallResult {
      ledger.applyEvent(result.requestId, { kind, result });
      recordEvent('ended', result.requestId, { outcome: OUTCOME_NAMES[result.outcome] ?? '' });
      return result;
    };

  const endRefused = createEndHandler(CallEventKind.Refused);
  const endAnswered = createEndHandler(CallEventKind.Answered);
  const endLost = createEndHandler(CallEventKind.ResponseLost);

  /**
   * Tries further targets only while no byte can have been sent. Once a byte may have been sent, the
   * call may have run, so it is never sent again.
   */
  const runAtTargets = async (call: ForwardCallRequest): Promise<CallResult> => {
    const { requestId } = call;
    const excludedVms = new Set<string>();
    let problem = '';
    for (let attempt = 0; attempt < MAX_CALL_TARGETS; attempt++) {
      const sent = await sendCall(dependencies, call, excludedVms, {
        idempotent: false,
        handleSendStarted(vm) {
          ledger.applyEvent(requestId, { kind: CallEventKind.SendStarted });
          recordEvent('send-started', requestId, { target: vm });
        },
      });
      if (sent.refusal !== undefined) return endRefused(buildRefusal(call, sent.refusal));
      const { vm, result } = sent;
      if (result.response !== undefined)
        return endAnswered(buildDoneResult(requestId, result.response));
      problem = `${vm}: ${result.failure.problem}`;
      if (result.sent) {
        return endLost(
          buildUnknownResult(requestId, `The call was sent, but no response arrived (${problem})`),
        );
      }
      ledger.applyEvent(requestId, { kind: CallEventKind.NotSent });
      recordEvent('not-sent', requestId, { target: vm, problem });
      excludedVms.add(vm);
    }
    return endRefused(
      buildNotRunResult(requestId, `No connection to a target could be established (${problem})`),
    );
  };

  const runAcceptedCall = async (call: ForwardCallRequest): Promise<CallResult> => {
    running++;
    recordEvent('accepted', call.requestId, { customer: call.customer });
    try {
      return await runAtTargets(call);
    } catch (error) {
      // It is unknown whether a byte was sent, so the call is treated as sent.
      ledger.applyEvent(call.requestId, { kind: CallEventKind.SendStarted });
      return endLost(buildUnknownResult(call.requestId, formatProblem(error)));
    } finally {
      running--;
    }
  };

  /** Returns `unknown` for ids that are expired or not issued here; undefined for valid own ids. */
  const findUnownedIdResult = (requestId: string): CallResult | undefined => {
    const status = ledger.checkId(requestId);
    if (status === RequestIdStatus.Own) return undefined;
    if (status === RequestIdStatus.Expired) return buildUnknownResult(requestId, REASON_EXPIRED);
    return buildUnknownResult(
      requestId,
      'This incarnation of the daemon did not issue the request id.',
    );
  };

  return {
    async runCall(call) {
      const { requestId } = call;
      const unownedIdResult = findUnownedIdResult(requestId);
      if (unownedIdResult !== undefined) return unownedIdResult;
      const { action, result, isFull } = ledger.applyEvent(requestId, {
        kind: CallEventKind.Received,
      });
      if (isFull === true) return buildNotRunResult(requestId, REASON_FULL);
      if (action === CallAction.Run) return runAcceptedCall(call);
      if (action === CallAction.Wait) return ledger.waitForResult(requestId);
      return result ?? buildUnknownResult(requestId, 'No outcome was recorded for the request id.');
    },
    lookUpCall(requestId) {
      const unownedIdResult = findUnownedIdResult(requestId);
      if (unownedIdResult !== undefined) return unownedIdResult;
      const { action, result, isFull } = ledger.applyEvent(requestId, {
        kind: CallEventKind.Lookup,
        result: buildNotRunResult(requestId, REASON_NOT_RECEIVED),
      });
      recordEvent('looked-up', requestId, { action });
      if (isFull === true) return buildNotRunResult(requestId, REASON_FULL);
      if (action === CallAction.ReplyRunning) return buildRunningResult(requestId);
      return result ?? buildUnknownResult(requestId, 'No outcome was recorded for the request id.');
    },
    countRunning: () => running,
  };
}
