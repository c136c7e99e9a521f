import type { EngineGroup, GroupMembership, Target } from '../fleet/index.ts';
import { ACTIVE_HEAD_STATES, GroupState } from '../fleet/index.ts';
import type { Logger } from '../logs/index.ts';
import type { ModelSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { EngineControl, EngineOrder, EngineState } from './types.ts';
import { OrderResult } from './types.ts';

/** Dependencies of the group operations. */
export interface GroupOperationOptions {
  timers: TimerService;
  control: EngineControl;
  logger: Logger;
  findTarget(id: string): Target | undefined;
  /** Whether this process may send orders now. */
  canSendOrders(): boolean;
  /** Whether a member of a group may join another one, as the group is not and will not be open. */
  mayLeaveGroup(member: Target, group: GroupMembership): boolean;
}

/**
 * Attempts to send one order. An engine that did not respond may still execute the order later; see
 * `joinHead` for the order that must not come twice, and `areJoinsLate` for the one that may.
 */
const ORDER_ATTEMPTS = 4;
/** Interval at which an engine's entry is checked for the expected state. */
const ENTRY_CHECK_PERIOD_MS = 40;
/** Delay and interval of the queries to an engine whose entry does not show the expected state. */
const STATE_QUERY_PERIOD_MS = 350;
/** Timeout of a query to an engine. */
const STATE_QUERY_TIMEOUT_MS = 150;
/** A join fails when it takes this much longer than expected. */
const JOIN_MARGIN_MS = 3_000;
/** Attempts to send the open order to a head that refuses it. */
const OPEN_ATTEMPTS = 6;
/** Delay before an open order is sent again to a head that refused it because it is not ready. */
const OPEN_RETRY_DELAY_MS = 60;
/** Time within which a head must show that it has stopped serving, if not closed gracefully. */
const CLOSE_TIMEOUT_MS = 700;
/** The longest expected stream, which has 87 events at intervals of 50 ms, plus a margin. */
const GRACEFUL_CLOSE_TIMEOUT_MS = 6_000;

/** States of a member that has completed its join. */
const OPERATIONAL_STATES: ReadonlySet<GroupState> = new Set([GroupState.Ready, GroupState.Open]);
/** States of a head that does not serve its group: closed, broken or not opened yet. */
const NOT_SERVING_STATES: ReadonlySet<GroupState> = new Set([
  GroupState.Ready,
  GroupState.Broken,
  GroupState.Joining,
]);

/** Result of ordering the head of a group to close it. */
export enum CloseResult {
  /** The head has stopped serving the group and has left it, so that no late order opens it again. */
  Closed = 'closed',
  /** The head did not close the group, or did not respond. */
  NotConfirmed = 'unclear',
  /** The head refuses connections: it has exited, or it is leaving and finishes its requests. */
  NotListening = 'not-listening',
}

/** Name and epoch of a group that is to be formed. */
export type NewGroup = Pick<EngineGroup, 'name' | 'epoch'>;

/** Result of ordering the members of a group, without the head, to join it. */
interface JoinResult {
  /** Result for each member. */
  results: OrderResult[];
  /** Whether an order got no response, so that it may be carried out at any later time. */
  areJoinsLate: boolean;
}

/** Result of forming a group. */
export interface FormationResult {
  /** The group if its head accepted the order to open it, so that it serves `EngineSpec.openMs` later. */
  group: NewGroup | undefined;
  /** Whether an order to join the group may still bring a member back after it has left. */
  areJoinsLate: boolean;
  /** Engines that failed an order. */
  failedIds: string[];
  /** A group that was given up before its head was ordered to open it, so that it never opens. */
  unopened: NewGroup | undefined;
}

/** Builds the result of a formation that ended before any member other than the head joined. */
function buildFailure(failedIds: string[]): FormationResult {
  return { group: undefined, areJoinsLate: false, failedIds, unopened: undefined };
}

type JoinOrder = Extract<EngineOrder, { kind: 'join' }>;

function buildJoinOrder(
  group: NewGroup | undefined,
  model: ModelSpec,
  members: string[],
): JoinOrder | undefined {
  if (group === undefined) return undefined;
  return { kind: 'join', group: group.name, epoch: group.epoch, model: model.name, members };
}

/**
 * Operations that change groups. When leadership is lost, each sends no more orders and may be
 * abandoned at any step; the next leader plans from the state that the engines are then in.
 */
export interface GroupOperations {
  /**
   * Forms a group of engines that say that they are free, and orders its head to open it. `issueGroup`
   * returns the name and epoch for each attempt to join the head, or undefined if there are no more.
   */
  formGroup(
    model: ModelSpec,
    members: readonly Target[],
    expectedMs: number,
    issueGroup: () => NewGroup | undefined,
  ): Promise<FormationResult>;
  /** Closes a group through its head; if graceful, after its requests are done. */
  closeGroup(group: EngineGroup, isGraceful: boolean): Promise<CloseResult>;
  /**
   * Orders a head that does not serve its group to leave it, so that no late order opens it again.
   * Returns whether it has left; false if it serves, or does not respond.
   */
  releaseHead(head: Target, name: string, epoch: number): Promise<boolean>;
  /**
   * Orders engines to leave a group. Returns the ids of those that have left it; an engine that did not
   * respond may leave later.
   */
  orderToLeave(members: readonly Target[], name: string, epoch: number): Promise<string[]>;
  /** Queries an engine up to twice; returns whether it responded. */
  isReachable(target: Target): Promise<boolean>;
}

/** Creates the group operations. */
export function createGroupOperations(options: GroupOperationOptions): GroupOperations {
  const { timers, control, logger, findTarget, canSendOrders, mayLeaveGroup } = options;

  const sendOrderWithRetries = async (target: Target, order: EngineOrder): Promise<OrderResult> => {
    let result = OrderResult.NotSent;
    for (let count = 0; count < ORDER_ATTEMPTS && canSendOrders(); count++) {
      result = await control.sendOrder(target, order);
      if (result !== OrderResult.Unknown) return result;
    }
    return result;
  };

  const isInState = (
    membership: EngineState['group'],
    name: string,
    epoch: number,
    wanted: ReadonlySet<GroupState | undefined>,
  ): boolean =>
    membership?.name === name && membership.epoch === epoch && wanted.has(membership.state);

  /** Waits until an engine is in one of the wanted states, by its entry or its response to a query. */
  const waitForState = async (
    target: Target,
    name: string,
    epoch: number,
    wanted: ReadonlySet<GroupState>,
    timeoutMs: number,
    firstQueryDelayMs: number,
  ): Promise<boolean> => {
    const startMs = timers.getMonotonicMs();
    let nextQueryMs = startMs + firstQueryDelayMs;
    for (;;) {
      const entry = findTarget(target.id);
      if (isInState(entry?.group, name, epoch, wanted)) return true;
      const now = timers.getMonotonicMs();
      if (now - startMs > timeoutMs || !canSendOrders()) return false;
      if (now >= nextQueryMs) {
        const engineState = await control.queryState(target, STATE_QUERY_TIMEOUT_MS);
        if (isInState(engineState?.group, name, epoch, wanted)) return true;
        nextQueryMs = timers.getMonotonicMs() + STATE_QUERY_PERIOD_MS;
      }
      await timers.waitFor(ENTRY_CHECK_PERIOD_MS);
    }
  };

  const orderToLeave = async (
    members: readonly Target[],
    group: string,
    epoch: number,
  ): Promise<string[]> => {
    if (!canSendOrders()) return [];
    const results = await Promise.all(
      members.map((member) => control.sendOrder(member, { kind: 'leave', group, epoch })),
    );
    const leftIds = members.filter((_, index) => results[index] === OrderResult.Accepted);
    return leftIds.map(({ id }) => id);
  };

  const sendOpenOrder = async (head: Target, group: string, epoch: number): Promise<boolean> => {
    for (let count = 0; count < OPEN_ATTEMPTS && canSendOrders(); count++) {
      const result = await sendOrderWithRetries(head, { kind: 'open', group, epoch });
      if (result === OrderResult.Accepted) return true;
      if (result !== OrderResult.Refused) return false;
      await timers.waitFor(OPEN_RETRY_DELAY_MS);
    }
    return false;
  };

  const hasStoppedServing = async (head: Target, name: string, epoch: number): Promise<boolean> => {
    const engineState = await control.queryState(head, STATE_QUERY_TIMEOUT_MS);
    return (
      engineState !== undefined && !isInState(engineState.group, name, epoch, ACTIVE_HEAD_STATES)
    );
  };

  /** Whether an engine says that it is not a member of a group; false if it does not respond. */
  const isOutsideGroup = async (target: Target, name: string, epoch: number): Promise<boolean> => {
    const engineState = await control.queryState(target, STATE_QUERY_TIMEOUT_MS);
    if (engineState === undefined) return false;
    return engineState.group?.name !== name || engineState.group.epoch !== epoch;
  };

  /**
   * Orders the head of a closed group to leave it. An order to open the group that got no response may
   * be carried out at any later time, but affects only a head that is still a member.
   */
  const leaveClosedGroup = async (head: Target, name: string, epoch: number): Promise<boolean> => {
    const result = await sendOrderWithRetries(head, { kind: 'leave', group: name, epoch });
    return result === OrderResult.Accepted || isOutsideGroup(head, name, epoch);
  };

  /** Queries an engine up to twice, as one response may be lost; undefined if it does not respond. */
  const queryTwice = async (target: Target): Promise<EngineState | undefined> =>
    (await control.queryState(target, STATE_QUERY_TIMEOUT_MS)) ??
    control.queryState(target, STATE_QUERY_TIMEOUT_MS);

  /**
   * Orders the head of a new group to join it, and returns the order that it accepted. Each attempt has
   * an epoch of its own: an attempt that got no response and names the same epoch as an accepted one
   * could bring the head back after it has left the group, and a late order could then open it.
   */
  const joinHead = async (
    head: Target,
    issueOrder: () => JoinOrder | undefined,
  ): Promise<JoinOrder | undefined> => {
    for (let count = 0; count < ORDER_ATTEMPTS && canSendOrders(); count++) {
      const order = issueOrder();
      if (order === undefined) return undefined;
      const result = await control.sendOrder(head, order);
      if (result === OrderResult.Accepted) return order;
      if (result !== OrderResult.Unknown) return undefined;
    }
    return undefined;
  };

  /** Orders members to join the group of their head; an order that gets no response is repeated. */
  const joinOthers = async (others: readonly Target[], order: JoinOrder): Promise<JoinResult> => {
    let areJoinsLate = false;
    const join = async (member: Target): Promise<OrderResult> => {
      const result = await control.sendOrder(member, order);
      if (result !== OrderResult.Unknown) return result;
      areJoinsLate = true;
      return sendOrderWithRetries(member, order);
    };
    const results = await Promise.all(others.map(join));
    return { results, areJoinsLate };
  };

  /**
   * Returns the engines that cannot join a group: those that do not respond, and members of groups that
   * may be open. An engine's entry may be older than its group if the engine or the store lost data.
   */
  const listUnavailableIds = async (members: readonly Target[]): Promise<string[]> => {
    const areAvailable = await Promise.all(
      members.map(async (member) => {
        const state = await queryTwice(member);
        if (state?.group === undefined) return state !== undefined;
        const isAvailable = mayLeaveGroup(member, state.group);
        const context = { engine: member.id, group: state.group.name };
        if (!isAvailable) logger.warn('an engine is in a group that may be open', context);
        return isAvailable;
      }),
    );
    return members.filter((_, index) => areAvailable[index] !== true).map(({ id }) => id);
  };

  return {
    async formGroup(model, members, expectedMs, issueGroup) {
      const ids = members.map(({ id }) => id);
      const unavailableIds = await listUnavailableIds(members);
      const [head, ...others] = members;
      if (head === undefined || unavailableIds.length > 0) return buildFailure(unavailableIds);
      const order = await joinHead(head, () => buildJoinOrder(issueGroup(), model, ids));
      if (order === undefined) {
        logger.warn('failed to form a group', { model: model.name, failed: head.id });
        return buildFailure([head.id]);
      }
      const { group: name, epoch } = order;
      const joined = await joinOthers(others, order);
      const { areJoinsLate } = joined;
      const results = [OrderResult.Accepted, ...joined.results];
      let failedIds = ids.filter((_, index) => results[index] !== OrderResult.Accepted);
      if (failedIds.length === 0) {
        const ready = await Promise.all(
          members.map((one) =>
            waitForState(
              one,
              name,
              epoch,
              OPERATIONAL_STATES,
              expectedMs + JOIN_MARGIN_MS,
              expectedMs + STATE_QUERY_PERIOD_MS,
            ),
          ),
        );
        // A member whose entry disappeared in the meantime is leaving or disconnected.
        failedIds = ids.filter((id, index) => !ready[index] || findTarget(id) === undefined);
      }
      const isOpenOrderAccepted =
        failedIds.length === 0 && (await sendOpenOrder(head, name, epoch));
      if (isOpenOrderAccepted) {
        return { group: { name, epoch }, areJoinsLate, failedIds, unopened: undefined };
      }
      logger.warn('failed to form a group', {
        group: name,
        epoch,
        model: model.name,
        failed: failedIds.join(' '),
        results: results.join(' '),
      });
      await orderToLeave(members, name, epoch);
      const unopened = failedIds.length > 0 ? { name, epoch } : undefined;
      return { group: undefined, areJoinsLate, failedIds, unopened };
    },
    async closeGroup({ name, epoch, headEngine }, isGraceful) {
      if (headEngine === undefined) return CloseResult.NotConfirmed;
      const result = await sendOrderWithRetries(headEngine, {
        kind: 'close',
        group: name,
        epoch,
        isGraceful,
      });
      if (result === OrderResult.NotListening) return CloseResult.NotListening;
      const timeoutMs = isGraceful ? GRACEFUL_CLOSE_TIMEOUT_MS : CLOSE_TIMEOUT_MS;
      const isClosed =
        result === OrderResult.Refused || result === OrderResult.Outdated
          ? await hasStoppedServing(headEngine, name, epoch)
          : result === OrderResult.Accepted &&
            (await waitForState(
              headEngine,
              name,
              epoch,
              NOT_SERVING_STATES,
              timeoutMs,
              STATE_QUERY_PERIOD_MS,
            ));
      const hasLeft = isClosed && (await leaveClosedGroup(headEngine, name, epoch));
      return hasLeft ? CloseResult.Closed : CloseResult.NotConfirmed;
    },
    releaseHead: async (head, name, epoch) =>
      (await hasStoppedServing(head, name, epoch)) && leaveClosedGroup(head, name, epoch),
    orderToLeave,
    isReachable: async (target) => (await queryTwice(target)) !== undefined,
  };
}
