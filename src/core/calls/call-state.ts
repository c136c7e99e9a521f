import type { CallResult } from '../rpc/index.ts';

/** State of a non-idempotent call at the daemon that issued its id. */
export enum CallState {
  /** Waiting for a target; no byte has been sent. */
  Accepted = 'accepted',
  /** Being sent to a target; a byte may have been sent. */
  Sending = 'sending',
  /** The target responded. */
  Done = 'done',
  /** A byte may have been sent, but no response arrived. */
  Unknown = 'unknown',
  /** The call did not run and never will. */
  Closed = 'closed',
}

/** Record that the owner keeps for one request id. */
export interface CallRecord {
  state: CallState;
  /** Set in the final states `Done`, `Unknown` and `Closed`. */
  result?: CallResult;
}

/** Events that change the state of a call. */
export enum CallEventKind {
  /** The call arrived from the caller or was forwarded by another daemon. */
  Received = 'order',
  /** The caller requested the outcome. */
  Lookup = 'lookup',
  /** The owner is about to connect to a target. */
  SendStarted = 'send-started',
  /** The connection was never established, so no byte was sent. */
  NotSent = 'not-sent',
  /** A limit, a full queue or a missing target ended the call before a byte was sent. */
  Refused = 'refused',
  /** The target responded. */
  Answered = 'answered',
  /** A byte may have been sent, but no response arrived. */
  ResponseLost = 'lost',
}

/** Event of a call; events that end the call carry its result. */
export type CallEvent =
  | { kind: CallEventKind.Received | CallEventKind.SendStarted | CallEventKind.NotSent }
  | {
      kind:
        | CallEventKind.Lookup
        | CallEventKind.Refused
        | CallEventKind.Answered
        | CallEventKind.ResponseLost;
      /** For a lookup: the result to record when the id has no record yet. */
      result: CallResult;
    };

/** Action that the owner takes after an event. */
export enum CallAction {
  None = 'none',
  /** Find a target and send the call. */
  Run = 'run',
  /** Reply with the result when the call has ended. */
  Wait = 'wait',
  /** Reply that the call is running. */
  ReplyRunning = 'reply-running',
  /** Reply with the recorded result. */
  Reply = 'reply',
}

/** Record after an event, and the action to take. */
export interface CallTransition {
  record: CallRecord | undefined;
  action: CallAction;
}

function isEnded({ state }: CallRecord): boolean {
  return state !== CallState.Accepted && state !== CallState.Sending;
}

function applyToUnrecorded(event: CallEvent): CallTransition {
  if (event.kind === CallEventKind.Received) {
    return { record: { state: CallState.Accepted }, action: CallAction.Run };
  }
  // The caller may act on `not-run`, so the id is closed: a call that arrives later must not run.
  if (event.kind === CallEventKind.Lookup) {
    return { record: { state: CallState.Closed, result: event.result }, action: CallAction.Reply };
  }
  return { record: undefined, action: CallAction.None };
}

function applyToAccepted(record: CallRecord, event: CallEvent): CallTransition {
  if (event.kind === CallEventKind.SendStarted) {
    return { record: { state: CallState.Sending }, action: CallAction.None };
  }
  if (event.kind === CallEventKind.Refused) {
    return { record: { state: CallState.Closed, result: event.result }, action: CallAction.Reply };
  }
  return { record, action: CallAction.None };
}

function applyToSending(record: CallRecord, event: CallEvent): CallTransition {
  if (event.kind === CallEventKind.NotSent) {
    return { record: { state: CallState.Accepted }, action: CallAction.None };
  }
  if (event.kind === CallEventKind.Answered) {
    return { record: { state: CallState.Done, result: event.result }, action: CallAction.Reply };
  }
  if (event.kind === CallEventKind.ResponseLost) {
    return { record: { state: CallState.Unknown, result: event.result }, action: CallAction.Reply };
  }
  return { record, action: CallAction.None };
}

/**
 * Applies one event to the record of an id. `Run` is returned only for an id without a record, so a
 * call runs at most once. `Closed` is entered only while no byte has been sent, so `not-run` is never
 * reported for a call that ran. models/call.pml checks the same transitions.
 */
export function applyCallEvent(record: CallRecord | undefined, event: CallEvent): CallTransition {
  if (record === undefined) return applyToUnrecorded(event);
  if (isEnded(record)) {
    const isReplyExpected =
      event.kind === CallEventKind.Received || event.kind === CallEventKind.Lookup;
    return { record, action: isReplyExpected ? CallAction.Reply : CallAction.None };
  }
  if (event.kind === CallEventKind.Received) return { record, action: CallAction.Wait };
  if (event.kind === CallEventKind.Lookup) return { record, action: CallAction.ReplyRunning };
  return record.state === CallState.Accepted
    ? applyToAccepted(record, event)
    : applyToSending(record, event);
}
