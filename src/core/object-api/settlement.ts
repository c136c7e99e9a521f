import { isChangeHistoryTrimmed, isWriteRecorded } from './change-records.ts';
import type { ObjectDelete, PlatformObject, WriteResult } from './types.ts';
import { WriteOutcome } from './types.ts';

/** Delay before the first retry of a read or write; it doubles with each retry. */
const FIRST_RETRY_DELAY_MS = 50;
const LONGEST_RETRY_DELAY_MS = 1_000;

/** The next action of the client to settle a write. */
export enum SettlementActionKind {
  /** Sends the conditional write; a retry is identical to the first attempt. */
  Send = 'send',
  /** Reads the object back to see whether the write took effect. */
  Read = 'read',
  /** Waits before a retry. */
  Wait = 'wait',
  /** The outcome of the write is known. */
  Finish = 'finish',
  /** The write was never sent, so it did not take effect. */
  FailUnavailable = 'fail-unavailable',
  /** The write may have taken effect. */
  FailUndecided = 'fail-undecided',
}

/** An action with its parameters. */
export type SettlementAction =
  | { kind: SettlementActionKind.Send | SettlementActionKind.Read }
  | { kind: SettlementActionKind.Wait; delayMs: number }
  | { kind: SettlementActionKind.Finish; result: WriteResult }
  | {
      kind: SettlementActionKind.FailUnavailable | SettlementActionKind.FailUndecided;
      problem: string;
    };

/** Result of the last action. */
export enum SettlementEventKind {
  Accepted = 'accepted',
  /** The platform refused the write because its base version is not current. */
  Refused = 'refused',
  /** No response was received; the write may have taken effect or still take effect. */
  AnswerLost = 'answer-lost',
  /** The write did not reach the platform. */
  NotSent = 'not-sent',
  ReadBack = 'read-back',
  ReadFailed = 'read-failed',
  WaitEnded = 'wait-ended',
  DeadlinePassed = 'deadline-passed',
}

/** A result with its data. */
export type SettlementEvent =
  | { kind: SettlementEventKind.Accepted; version: number }
  | {
      kind: SettlementEventKind.Refused | SettlementEventKind.ReadBack;
      current: PlatformObject | undefined;
    }
  | {
      kind:
        | SettlementEventKind.AnswerLost
        | SettlementEventKind.NotSent
        | SettlementEventKind.ReadFailed;
      problem: string;
    }
  | { kind: SettlementEventKind.WaitEnded | SettlementEventKind.DeadlinePassed };

/**
 * State of the settlement of one conditional write or delete. To settle a write means to determine
 * whether it took effect, also when its response was lost.
 */
export interface Settlement {
  write: ObjectDelete;
  isDelete: boolean;
  /** True after an attempt whose response was lost. */
  mayHaveTakenEffect: boolean;
  /** Number of waits so far; determines the next delay. */
  waitCount: number;
  /** Action after the current wait. */
  next: SettlementActionKind.Send | SettlementActionKind.Read;
  /** Last failure, for the error message. */
  problem: string;
}

/** State of a settlement and the next action. */
export interface SettlementStep {
  state: Settlement;
  action: SettlementAction;
}

/** Starts the settlement of a write or delete. */
export function createSettlement(write: ObjectDelete, isDelete: boolean): SettlementStep {
  const next = SettlementActionKind.Send;
  return {
    state: {
      write,
      isDelete,
      mayHaveTakenEffect: false,
      waitCount: 0,
      next,
      problem: 'no response',
    },
    action: { kind: next },
  };
}

function buildFinishStep(state: Settlement, result: WriteResult): SettlementStep {
  return { state, action: { kind: SettlementActionKind.Finish, result } };
}

function buildWaitStep(
  state: Settlement,
  next: Settlement['next'],
  problem?: string,
): SettlementStep {
  const delayMs = Math.min(LONGEST_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** state.waitCount);
  return {
    state: { ...state, waitCount: state.waitCount + 1, next, problem: problem ?? state.problem },
    action: { kind: SettlementActionKind.Wait, delayMs },
  };
}

function buildUndecidedStep(state: Settlement, problem: string): SettlementStep {
  return { state, action: { kind: SettlementActionKind.FailUndecided, problem } };
}

/** Settles a write whose base version was replaced by the current object, or by a delete. */
function settleReplaced(state: Settlement, current: PlatformObject | undefined): SettlementStep {
  const { write, isDelete, mayHaveTakenEffect } = state;
  const version = current?.version ?? 0;
  if (current !== undefined && isWriteRecorded(current, write.writeId)) {
    return buildFinishStep(state, { outcome: WriteOutcome.Applied, version, current });
  }
  if (isDelete && mayHaveTakenEffect && current === undefined) {
    return buildFinishStep(state, { outcome: WriteOutcome.Applied, version });
  }
  if (
    mayHaveTakenEffect &&
    current !== undefined &&
    isChangeHistoryTrimmed(current, write.baseVersion)
  ) {
    return buildUndecidedStep(state, 'the change records no longer reach back to the base version');
  }
  return buildFinishStep(state, { outcome: WriteOutcome.Conflict, version, current });
}

function handleReadBack(state: Settlement, current: PlatformObject | undefined): SettlementStep {
  const isUnchanged = (current?.version ?? 0) === state.write.baseVersion;
  // The base version is still current, so a retry of the same write takes effect at most once.
  if (isUnchanged) return buildWaitStep(state, SettlementActionKind.Send);
  return settleReplaced(state, current);
}

function handleDeadline(state: Settlement): SettlementStep {
  if (state.mayHaveTakenEffect) return buildUndecidedStep(state, state.problem);
  const { problem } = state;
  return { state, action: { kind: SettlementActionKind.FailUnavailable, problem } };
}

/** Returns the state and action after an event; a lost response is settled by reading back. */
export function applySettlementEvent(state: Settlement, event: SettlementEvent): SettlementStep {
  switch (event.kind) {
    case SettlementEventKind.Accepted:
      return buildFinishStep(state, { outcome: WriteOutcome.Applied, version: event.version });
    case SettlementEventKind.Refused:
      return settleReplaced(state, event.current);
    case SettlementEventKind.AnswerLost:
      return {
        state: { ...state, mayHaveTakenEffect: true, problem: event.problem },
        action: { kind: SettlementActionKind.Read },
      };
    case SettlementEventKind.NotSent:
      return buildWaitStep(state, SettlementActionKind.Send, event.problem);
    case SettlementEventKind.ReadBack:
      return handleReadBack(state, event.current);
    case SettlementEventKind.ReadFailed:
      return buildWaitStep(state, SettlementActionKind.Read, event.problem);
    case SettlementEventKind.WaitEnded:
      return { state, action: { kind: state.next } };
    case SettlementEventKind.DeadlinePassed:
      return handleDeadline(state);
    default:
      throw new TypeError('Unknown settlement event.');
  }
}
