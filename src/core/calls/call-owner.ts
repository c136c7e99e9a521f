import { formatProblem } from '../errors/index.ts';
import type { CallResult, ForwardCallRequest } from '../rpc/index.ts';
import { CallOutcome } from '../rpc/index.ts';
import type { CallLedger } from './call-ledger.ts';
import { IdStatus } from './call-ledger.ts';
import { CallAction, CallEventKind } from './call-state.ts';
import { MAX_CALL_TARGETS } from './consts.ts';
import {
  buildDone,
  buildNotRun,
  buildRunning,
  buildUnknown,
  createRefusalError,
  STATUS_LIMIT,
} from './results.ts';
import { sendCall } from './send-call.ts';
import type { CallParts } from './types.ts';

/** Runs non-idempotent calls whose ids this daemon issued, each at most once. */
export interface CallOwner {
  runCall(call: ForwardCallRequest): Promise<CallResult>;
  /** Returns the outcome of a call; an id without a record is closed and never runs. */
  settleCall(requestId: string): CallResult;
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
const REASON_UNSEEN = 'The call has not been received. Its request id is closed; use a new one.';

/** Creates the component that runs the calls whose ids this daemon issued. */
export function createCallOwner(parts: CallParts, ledger: CallLedger): CallOwner {
  let running = 0;

  const record = (kind: string, request: string, details: Record<string, string> = {}): void => {
    parts.metrics.increment(`calls.${kind}`);
    parts.events.record('calls', kind, { request, ...details });
  };

  const buildRefusal = (
    call: ForwardCallRequest,
    refusal: Parameters<typeof createRefusalError>[0],
  ): CallResult => {
    const { message } = createRefusalError(refusal, call.customer, call.service);
    const status = refusal.limit === undefined ? undefined : STATUS_LIMIT;
    return buildNotRun(call.requestId, message, refusal.retryAfterMs, status);
  };

  const end = (kind: CallEventKind.Refused | CallEventKind.Answered | CallEventKind.Lost) =>
    function applyEnd(result: CallResult): CallResult {
      ledger.applyEvent(result.requestId, { kind, result });
      record('ended', result.requestId, { outcome: OUTCOME_NAMES[result.outcome] ?? '' });
      return result;
    };

  const endRefused = end(CallEventKind.Refused);
  const endAnswered = end(CallEventKind.Answered);
  const endLost = end(CallEventKind.Lost);

  /**
   * Tries further targets only while no byte can have been sent. Once a byte may have been sent, the
   * call may have run, so it is never sent again.
   */
  const runAtTargets = async (call: ForwardCallRequest): Promise<CallResult> => {
    const { requestId } = call;
    const excludedVms = new Set<string>();
    let problem = '';
    for (let tries = 0; tries < MAX_CALL_TARGETS; tries++) {
      const sent = await sendCall(parts, call, excludedVms, {
        idempotent: false,
        handleSendStarted(vm) {
          ledger.applyEvent(requestId, { kind: CallEventKind.SendStarted });
          record('send-started', requestId, { target: vm });
        },
      });
      if (sent.refusal !== undefined) return endRefused(buildRefusal(call, sent.refusal));
      const { vm, result } = sent;
      if (result.response !== undefined) return endAnswered(buildDone(requestId, result.response));
      problem = `${vm}: ${result.failure.problem}`;
      if (result.sent) {
        return endLost(
          buildUnknown(requestId, `The call was sent, but no response arrived (${problem})`),
        );
      }
      ledger.applyEvent(requestId, { kind: CallEventKind.NotSent });
      record('not-sent', requestId, { target: vm, problem });
      excludedVms.add(vm);
    }
    return endRefused(
      buildNotRun(requestId, `No connection to a target could be established (${problem})`),
    );
  };

  const runNew = async (call: ForwardCallRequest): Promise<CallResult> => {
    running++;
    record('accepted', call.requestId, { customer: call.customer });
    try {
      return await runAtTargets(call);
    } catch (error) {
      // It is unknown whether a byte was sent, so the call is treated as sent.
      ledger.applyEvent(call.requestId, { kind: CallEventKind.SendStarted });
      return endLost(buildUnknown(call.requestId, formatProblem(error)));
    } finally {
      running--;
    }
  };

  /** Returns `unknown` for ids that are expired or not issued here; undefined for valid own ids. */
  const findFixedResult = (requestId: string): CallResult | undefined => {
    const status = ledger.checkId(requestId);
    if (status === IdStatus.Own) return undefined;
    if (status === IdStatus.Expired) return buildUnknown(requestId, REASON_EXPIRED);
    return buildUnknown(requestId, 'This incarnation of the daemon did not issue the request id.');
  };

  return {
    async runCall(call) {
      const { requestId } = call;
      const fixed = findFixedResult(requestId);
      if (fixed !== undefined) return fixed;
      const { action, result, isFull } = ledger.applyEvent(requestId, {
        kind: CallEventKind.Order,
      });
      if (isFull === true) return buildNotRun(requestId, REASON_FULL);
      if (action === CallAction.Run) return runNew(call);
      if (action === CallAction.Wait) return ledger.waitForResult(requestId);
      return result ?? buildUnknown(requestId, 'No outcome was recorded for the request id.');
    },
    settleCall(requestId) {
      const fixed = findFixedResult(requestId);
      if (fixed !== undefined) return fixed;
      const { action, result, isFull } = ledger.applyEvent(requestId, {
        kind: CallEventKind.Lookup,
        result: buildNotRun(requestId, REASON_UNSEEN),
      });
      record('looked-up', requestId, { action });
      if (isFull === true) return buildNotRun(requestId, REASON_FULL);
      if (action === CallAction.ReplyRunning) return buildRunning(requestId);
      return result ?? buildUnknown(requestId, 'No outcome was recorded for the request id.');
    },
    countRunning: () => running,
  };
}
