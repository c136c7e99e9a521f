import { createError, ErrorKind } from '../errors/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { SettlementAction, SettlementEvent } from './settlement.ts';
import {
  applySettlementEvent,
  createSettlement,
  SettlementActionKind,
  SettlementEventKind,
} from './settlement.ts';
import type { ObjectDelete, WriteResult } from './types.ts';

/** The calls that a settlement makes; in outages they return an event instead of throwing. */
export interface SettlementCalls {
  sendWrite(timeoutMs: number): Promise<SettlementEvent>;
  readBack(timeoutMs: number): Promise<SettlementEvent>;
}

/**
 * Runs a conditional write or delete until it is settled or the deadline has passed. Throws
 * `PlatformUnavailable` if the write was never sent and `WriteUndecided` if it may have taken
 * effect.
 */
export async function settleWrite(
  write: ObjectDelete,
  isDelete: boolean,
  calls: SettlementCalls,
  timers: Pick<TimerService, 'waitFor' | 'getMonotonicMs'>,
  settleTimeoutMs: number,
): Promise<WriteResult> {
  const deadlineMs = timers.getMonotonicMs() + settleTimeoutMs;

  const runAction = async (action: SettlementAction): Promise<SettlementEvent> => {
    const remainingMs = deadlineMs - timers.getMonotonicMs();
    const delayMs = action.kind === SettlementActionKind.Wait ? action.delayMs : 0;
    if (remainingMs <= delayMs) return { kind: SettlementEventKind.DeadlinePassed };
    if (action.kind === SettlementActionKind.Send) return calls.sendWrite(remainingMs);
    if (action.kind === SettlementActionKind.Read) return calls.readBack(remainingMs);
    await timers.waitFor(delayMs);
    return { kind: SettlementEventKind.WaitEnded };
  };

  let { state, action } = createSettlement(write, isDelete);
  const object = `${write.kind}/${write.name}`;
  for (;;) {
    if (action.kind === SettlementActionKind.Finish) return action.result;
    if (action.kind === SettlementActionKind.FailUnavailable) {
      const operation = `Write of ${object}`;
      throw createError(ErrorKind.PlatformUnavailable, { operation, problem: action.problem });
    }
    if (action.kind === SettlementActionKind.FailUndecided) {
      const { writeId } = write;
      const { problem } = action;
      throw createError(ErrorKind.WriteUndecided, { writeId, object, problem });
    }
    ({ state, action } = applySettlementEvent(state, await runAction(action)));
  }
}
