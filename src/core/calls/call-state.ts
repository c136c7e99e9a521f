import type { CallResult } from '../rpc/index.ts';

/** Progress of a non-idempotent call at its owner. */
export enum CallState {
  /** The call waits for a target; no byte has left. */
  Accepted = 'accepted',
  /** The call goes to a target; a byte may have left. */
  Sending = 'sending',
  /** The target answered. */
  Done = 'done',
  /** A byte may have left, and no answer came. */
  Unknown = 'unknown',
  /** The call never ran and never will. */
  Closed = 'closed',
}

/** What the owner knows of one request id. */
export interface CallRecord {
  state: CallState;
  /** Set in the final states. */
  result?: CallResult;
}

/** What happens to a call. */
export enum CallEventKind {
  /** The call arrived, from the caller or through another daemon. */
  Order = 'order',
  /** The caller asks for the outcome. */
  Lookup = 'lookup',
  /** The owner is about to connect to a target. */
  SendStarted = 'send-started',
  /** The connection was never established, so that no byte left. */
  NotSent = 'not-sent',
  /** A limit, the queue or the lack of a target ended the call before a byte left. */
  Refused = 'refused',
  Answered = 'answered',
  /** A byte may have left, and no answer came. */
  Lost = 'lost',
}

/** Event of a call; those that end it carry the result. */
export type CallEvent =
  | { kind: CallEventKind.Order | CallEventKind.SendStarted | CallEventKind.NotSent }
  | {
      kind:
        CallEventKind.Lookup | CallEventKind.Refused | CallEventKind.Answered | CallEventKind.Lost;
      /** For a lookup: the result if the id was never seen. */
      result: CallResult;
    };

/** What the owner does after an event. */
export enum CallAction {
  None = 'none',
  /** Look for a target and send the call. */
  Run = 'run',
  /** Answer when the call has ended. */
  Wait = 'wait',
  /** Answer that the call is running. */
  ReplyRunning = 'reply-running',
  /** Answer with the result. */
  Reply = 'reply',
}

/** Next record and what to do. */
export interface CallTransition {
  record: CallRecord | undefined;
  action: CallAction;
}

function isEnded({ state }: CallRecord): boolean {
  return state !== CallState.Accepted && state !== CallState.Sending;
}

function applyToNew(event: CallEvent): CallTransition {
  if (event.kind === CallEventKind.Order) {
    return { record: { state: CallState.Accepted }, action: CallAction.Run };
  }
  // An id that was looked up before its call arrived is closed, so that a late copy can't run.
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
  if (event.kind === CallEventKind.Lost) {
    return { record: { state: CallState.Unknown, result: event.result }, action: CallAction.Reply };
  }
  return { record, action: CallAction.None };
}

/**
 * Applies one event to the record of an id. `Run` is returned only for an id that was never seen,
 * and `Closed` is reached only while no byte has left: a call runs at most once, and `not-run`
 * is true. models/call.pml checks the same transitions.
 */
export function applyCallEvent(record: CallRecord | undefined, event: CallEvent): CallTransition {
  if (record === undefined) return applyToNew(event);
  if (isEnded(record)) {
    const isAsked = event.kind === CallEventKind.Order || event.kind === CallEventKind.Lookup;
    return { record, action: isAsked ? CallAction.Reply : CallAction.None };
  }
  if (event.kind === CallEventKind.Order) return { record, action: CallAction.Wait };
  if (event.kind === CallEventKind.Lookup) return { record, action: CallAction.ReplyRunning };
  return record.state === CallState.Accepted
    ? applyToAccepted(record, event)
    : applyToSending(record, event);
}
