import type { EngineGroup, Target } from '../fleet/index.ts';
import { ACTIVE_STATES, GroupState } from '../fleet/index.ts';
import type { Logger } from '../logs/index.ts';
import type { ModelSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { EngineControl, EngineOrder, EngineReport } from './types.ts';
import { OrderResult } from './types.ts';

/** What operations on groups need. */
export interface OperationOptions {
  timers: TimerService;
  control: EngineControl;
  logger: Logger;
  findTarget(id: string): Target | undefined;
  /** Whether this process may give orders now. */
  mayAct(): boolean;
}

/** Sends of one order: an engine may leave an order unanswered and carry it out later. */
const ORDER_TRIES = 4;
/** Period at which the state of an engine is looked at. */
const LOOK_PERIOD_MS = 40;
/** Time after which an engine is asked itself, if the store does not show the expected state. */
const ASK_AFTER_MS = 350;
/** Time for the answer to a question. */
const ASK_TIMEOUT_MS = 150;
/** Time beyond the expected one after which a join is given up. */
const JOIN_SLACK_MS = 3_000;
const OPEN_TRIES = 6;
/** Pause before an open is sent again to a head that is not ready. */
const OPEN_PERIOD_MS = 60;
const CLOSE_TIMEOUT_MS = 700;
/** Longest stream of the sheets, 87 events of 50 ms, and a margin. */
const GRACEFUL_CLOSE_TIMEOUT_MS = 6_000;

const READY: ReadonlySet<GroupState> = new Set([GroupState.Ready, GroupState.Open]);
const STOPPED: ReadonlySet<GroupState> = new Set([
  GroupState.Ready,
  GroupState.Broken,
  GroupState.Joining,
]);

/** What became of a group whose head was asked to close it. */
export enum CloseResult {
  /** The head has stopped serving the group. */
  Closed = 'closed',
  /** The head did not close the group, or did not answer. */
  Unclear = 'unclear',
  /** The head takes no connection: it has ended, or it leaves and finishes what it has. */
  NotListening = 'not-listening',
}

/** Steps that change groups, each safe to give up at any point. */
export interface Operations {
  /** Returns whether the group serves, and the engines that did not do what was asked. */
  formGroup(
    name: string,
    epoch: number,
    model: ModelSpec,
    members: readonly Target[],
    expectedMs: number,
  ): Promise<{ isOpen: boolean; failedIds: string[] }>;
  /** Closes a group at its head. */
  closeGroup(group: EngineGroup, isGraceful: boolean): Promise<CloseResult>;
  /** Asks a head whether it has stopped serving a group; false without an answer. */
  hasEnded(head: Target, name: string, epoch: number): Promise<boolean>;
  /** Asks an engine whether it is there. */
  isReachable(target: Target): Promise<boolean>;
}

/** Creates the operations. */
export function createOperations(options: OperationOptions): Operations {
  const { timers, control, logger, findTarget, mayAct } = options;

  const sendRepeatedly = async (target: Target, order: EngineOrder): Promise<OrderResult> => {
    let result = OrderResult.NotSent;
    for (let count = 0; count < ORDER_TRIES && mayAct(); count++) {
      result = await control.sendOrder(target, order);
      if (result !== OrderResult.Unknown) return result;
    }
    return result;
  };

  const isInState = (
    state: EngineReport['group'],
    name: string,
    epoch: number,
    wanted: ReadonlySet<GroupState | undefined>,
  ): boolean => state?.name === name && state.epoch === epoch && wanted.has(state.state);

  /** Waits until an engine is in a state of a group, by its entry or by its own word. */
  const waitForState = async (
    target: Target,
    name: string,
    epoch: number,
    wanted: ReadonlySet<GroupState>,
    limitMs: number,
    askAfterMs: number,
  ): Promise<boolean> => {
    const startMs = timers.getMonotonicMs();
    let nextAskMs = startMs + askAfterMs;
    for (;;) {
      const entry = findTarget(target.id);
      if (isInState(entry?.group, name, epoch, wanted)) return true;
      const now = timers.getMonotonicMs();
      if (now - startMs > limitMs || !mayAct()) return false;
      if (now >= nextAskMs) {
        const report = await control.fetchReport(target, ASK_TIMEOUT_MS);
        if (isInState(report?.group, name, epoch, wanted)) return true;
        nextAskMs = timers.getMonotonicMs() + ASK_AFTER_MS;
      }
      await timers.waitFor(LOOK_PERIOD_MS);
    }
  };

  const leaveAll = async (members: readonly Target[], group: string, epoch: number) => {
    await Promise.all(
      members.map((member) => control.sendOrder(member, { kind: 'leave', group, epoch })),
    );
  };

  const openGroup = async (head: Target, group: string, epoch: number): Promise<boolean> => {
    for (let count = 0; count < OPEN_TRIES && mayAct(); count++) {
      const result = await sendRepeatedly(head, { kind: 'open', group, epoch });
      if (result === OrderResult.Accepted) return true;
      if (result !== OrderResult.Refused) return false;
      await timers.waitFor(OPEN_PERIOD_MS);
    }
    return false;
  };

  const hasEnded = async (head: Target, name: string, epoch: number): Promise<boolean> => {
    const report = await control.fetchReport(head, ASK_TIMEOUT_MS);
    return report !== undefined && !isInState(report.group, name, epoch, ACTIVE_STATES);
  };

  return {
    async formGroup(name, epoch, model, members, expectedMs) {
      const ids = members.map(({ id }) => id);
      const order: EngineOrder = {
        kind: 'join',
        group: name,
        epoch,
        model: model.name,
        members: ids,
      };
      const results = await Promise.all(members.map((one) => sendRepeatedly(one, order)));
      let failedIds = ids.filter((_, index) => results[index] !== OrderResult.Accepted);
      if (failedIds.length === 0) {
        const ready = await Promise.all(
          members.map((one) =>
            waitForState(
              one,
              name,
              epoch,
              READY,
              expectedMs + JOIN_SLACK_MS,
              expectedMs + ASK_AFTER_MS,
            ),
          ),
        );
        // A member that lost its entry meanwhile is leaving or cut off.
        failedIds = ids.filter((id, index) => !ready[index] || findTarget(id) === undefined);
      }
      const [head] = members;
      const isOpen =
        failedIds.length === 0 && head !== undefined && (await openGroup(head, name, epoch));
      if (isOpen) return { isOpen, failedIds };
      logger.warn('a group was not formed', {
        group: name,
        epoch,
        model: model.name,
        failed: failedIds.join(' '),
        results: results.join(' '),
      });
      if (mayAct()) await leaveAll(members, name, epoch);
      return { isOpen, failedIds };
    },
    async closeGroup({ name, epoch, head }, isGraceful) {
      if (head === undefined) return CloseResult.Unclear;
      const result = await sendRepeatedly(head, {
        kind: 'close',
        group: name,
        epoch,
        isGraceful,
      });
      if (result === OrderResult.Outdated) return CloseResult.Closed;
      if (result === OrderResult.NotListening) return CloseResult.NotListening;
      const limitMs = isGraceful ? GRACEFUL_CLOSE_TIMEOUT_MS : CLOSE_TIMEOUT_MS;
      const isClosed =
        result === OrderResult.Refused
          ? await hasEnded(head, name, epoch)
          : result === OrderResult.Accepted &&
            (await waitForState(head, name, epoch, STOPPED, limitMs, ASK_AFTER_MS));
      return isClosed ? CloseResult.Closed : CloseResult.Unclear;
    },
    hasEnded,
    async isReachable(target) {
      const first = await control.fetchReport(target, ASK_TIMEOUT_MS);
      if (first !== undefined) return true;
      return (await control.fetchReport(target, ASK_TIMEOUT_MS)) !== undefined;
    },
  };
}
