import type { EngineGroup, Fleet, Target } from '../fleet/index.ts';
import type { Logger } from '../logs/index.ts';
import type { EngineSpec, ModelSpec, ServiceSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { ModelDemand } from '../work/index.ts';
import { computeEngineShares } from './engine-shares.ts';
import { formatGroupName } from './group-name.ts';
import { createHeadRegistry } from './head-registry.ts';
import type { HeadLocation } from './head-registry.ts';
import type { NewGroup } from './group-operations.ts';
import { CloseResult, createGroupOperations } from './group-operations.ts';
import type { FormationAction } from './plan-formation.ts';
import { planFormation } from './plan-formation.ts';
import type { EngineControl } from './types.ts';
import { OrderResult } from './types.ts';

/** Dependencies and settings of the group formation. */
export interface FormationOptions {
  timers: TimerService;
  logger: Logger;
  fleet: Fleet;
  control: EngineControl;
  /** Returns all services of the active configuration; those without engines are ignored. */
  listServices(): readonly ServiceSpec[];
  /** Returns the leadership term under which orders may be sent now; 0 if not the leader. */
  getTerm(): number;
  /** Whether the local copy of the target entries is recent enough to act on. */
  isTargetCopyFresh(): boolean;
  /** Whether another leader may have acted before the current term. */
  hasPredecessor(): boolean;
  /**
   * Whether the initial formation is over: this is not the first start of the system, or some
   * gateway has received a request.
   */
  isInitialFormationOver(): boolean;
  isZoneEvacuated(availabilityZone: string): boolean;
  /** Returns the number of requests in progress at a target, summed over all gateways. */
  countInFlight(targetId: string): number;
  /** Returns the requests for a model that all gateways receive. */
  getDemand(service: string, model: string): ModelDemand;
  /** Whether another gateway has requests in progress at a target, which then counts as alive. */
  hasRequestsOfOtherGateways(targetId: string): boolean;
  /** Time after which a group breaks when its head or another member does not respond, in ms. */
  stallMs: number;
}

/** Forms, repairs and closes engine groups while this process is the leader. */
export interface Formation {
  /**
   * Queries the members of the group of a target that a gateway found silent or unreachable, and
   * excludes those that do not respond from plans for a while.
   */
  handleSuspect(targetId: string): void;
  /** Returns where the heads of the groups are, for the next leader. */
  listHeadLocations(): HeadLocation[];
  /** Adds the head locations that the previous leader stored. */
  addHeadLocations(locations: readonly HeadLocation[]): void;
  stop(): void;
}

/** Interval between planning runs. */
const PLAN_PERIOD_MS = 60;
/** Interval at which a process that is not the leader records the heads of groups. */
const FOLLOWER_UPDATE_PERIOD_MS = 500;
/** Epochs reserved for one term. If a term formed more groups, the next term would repeat epochs. */
const EPOCHS_PER_TERM = 100_000;
/** An engine that did not respond is excluded from plans for this long. */
const UNRESPONSIVE_EXCLUSION_MS = 4_000;
/** An engine whose order failed is excluded from plans for this long. */
const FAILED_ORDER_EXCLUSION_MS = 1_000;
/** Minimum interval between two queries that check whether an engine responds. */
const RESPONSE_CHECK_PERIOD_MS = 500;
/** Duration of a join on an engine that still has the model of its last group loaded. */
const SAME_MODEL_JOIN_MS = 200;
/**
 * Most loads that one plan may start during the initial formation, before the first request
 * arrives. It limits them because concurrent loads above a small number slow each other down.
 */
const MAX_LOADS_BEFORE_TRAFFIC = 60;
/**
 * Window over which the start rate of loads is limited. The budget stays one load below
 * `EngineSpec.loadsPerSecond`, so four loads at a permitted rate of five per second.
 */
const LOAD_WINDOW_MS = 1_000;
/**
 * Delay of the first plan after the start of a term, while groups of an earlier leader may still be
 * opening. Term 1 has no earlier leader and no delay.
 */
const TAKEOVER_DELAY_MS = 700;

/**
 * At the first start, engines register over several seconds. Planning waits until the number of
 * engines has not changed for this long.
 */
const REGISTRATION_SETTLE_MS = 600;
/** The first plan is made at most this long after the wait began. */
const REGISTRATION_SETTLE_LIMIT_MS = 5_000;

/** Interval at which the entry of an engine that stages a model is checked. */
const STAGING_CHECK_PERIOD_MS = 100;
/** Delay before the head or the members of a group that did not leave it are asked again. */
const HEAD_QUERY_PERIOD_MS = 400;
/** Time within which the entries of engines show that they have left a group. */
const DEPARTURE_ENTRY_WAIT_MS = 1_000;
/** Covers the delay with which an engine notices that the stall time is over. */
const BREAK_MARGIN_MS = 250;
/** Interval at which these entries are checked. */
const DEPARTURE_CHECK_PERIOD_MS = 40;
/**
 * A fabric domain that retired groups for a model but could not form a group of it forms groups of
 * other models again after this time.
 */
const DOMAIN_RESERVATION_MS = 7_000;
/** Longest time for which an engine's store entry may show a state from before an order. */
const ENTRY_LAG_MS = 6_000;

function listMembers(group: EngineGroup): Target[] {
  return group.membersByRank.filter((member) => member !== undefined);
}

/** A group that an engine has left as ordered. */
interface Departure {
  epoch: number;
  /** Monotonic time from which the engine may be used. */
  usableFromMs: number;
}

/** An operation in progress on one group; its engines are not used by plans until it ends. */
interface ActiveOperation {
  /** Members of the group. */
  ids: string[];
  /** Model of a group that is being formed; undefined for other operations. */
  model: string | undefined;
}

/** Starts the periodic planning of groups. */
export function startFormation(options: FormationOptions): Formation {
  const { timers, logger, fleet, control, getTerm, isZoneEvacuated, stallMs } = options;
  const activeOperations = new Set<ActiveOperation>();
  /** Monotonic time until which an engine is excluded from plans, by engine. */
  const excludedUntilMs = new Map<string, number>();
  /** Monotonic time of the last query that checked whether an engine responds, by engine. */
  const lastQueryMs = new Map<string, number>();
  /** Model that is being staged, by engine. */
  const staging = new Map<string, string>();
  /** Epochs of the joins ordered, by engine, until the entries show these or later epochs. */
  const orderedEpochs = new Map<string, { epoch: number; untilMs: number }>();
  /** Epochs of the groups that this process has formed and that no late order to join may refer to. */
  const settledEpochs = new Set<number>();
  /** Groups that engines have left as ordered, by engine. */
  const departures = new Map<string, Departure>();
  /** Fabric domains that retire groups in favour of a model, until its group is formed. */
  const domainReservations = new Map<string, { model: string; untilMs: number }>();
  const headRegistry = createHeadRegistry({
    timers,
    findTarget: (id) => fleet.findTarget(id),
    isUnreachable: (id) => excludedUntilMs.has(id),
    stallMs,
  });
  const engineCounts = new Map<
    string,
    { count: number; waitStartedMs: number; lastChangedMs: number }
  >();
  let loadStartsMs: number[] = [];
  let term = 0;
  let termSinceMs = 0;
  /** Last term other than 0; kept while it is unclear whether the lease is still held. */
  let epochTerm = 0;
  let epochCount = 0;
  let headsUpdatedMs = -Infinity;

  const canSendOrders = (): boolean => term !== 0 && getTerm() === term;

  /** Whether no order brings an engine back into a group that it has left; its reports may be older. */
  const hasLeftForGood = (id: string, epoch: number): boolean =>
    departures.get(id)?.epoch === epoch && settledEpochs.has(epoch);

  const groupOperations = createGroupOperations({
    timers,
    control,
    logger,
    findTarget: (id) => fleet.findTarget(id),
    canSendOrders,
    mayLeaveGroup: ({ id, service }, { name, epoch }) =>
      hasLeftForGood(id, epoch) || headRegistry.hasEnded({ service, name, epoch }),
  });

  const excludeEngines = (ids: readonly string[], forMs: number): void => {
    const untilMs = timers.getMonotonicMs() + forMs;
    ids.forEach((id) => excludedUntilMs.set(id, untilMs));
  };

  const runOperation = (ids: string[], model: string | undefined, run: () => Promise<void>) => {
    const operation = { ids, model };
    activeOperations.add(operation);
    run()
      .catch((error: unknown) =>
        logger.error('a group operation failed', { problem: String(error) }),
      )
      .finally(() => activeOperations.delete(operation));
  };

  const computeExpectedMs = (model: ModelSpec, members: readonly Target[]): number => {
    const needed = members.map((one) => {
      if (one.currentModel === model.name) return SAME_MODEL_JOIN_MS;
      if (one.stagedModels.includes(model.name)) return model.stagedJoinMs;
      return model.loadMs;
    });
    return Math.max(...needed);
  };

  const getOpenMs = (member: Target | undefined): number =>
    options.listServices().find(({ name }) => name === member?.service)?.engine?.openMs ?? 0;

  /** Issues the next epoch and its name for a group, or undefined if the epochs are used up. */
  const issueGroup = (head: Target, ids: readonly string[]): NewGroup | undefined => {
    if (epochCount >= EPOCHS_PER_TERM) {
      // Epochs of the next term would repeat those of this one; a new term has its own.
      logger.error('the epochs of this term are used up; restart the gateway', { term });
      return undefined;
    }
    const epoch = term * EPOCHS_PER_TERM + epochCount++;
    const untilMs = timers.getMonotonicMs() + ENTRY_LAG_MS;
    ids.forEach((id) => orderedEpochs.set(id, { epoch, untilMs }));
    return { name: formatGroupName(epoch, head), epoch };
  };

  const formGroup = (model: ModelSpec, members: Target[]): void => {
    const [head] = members;
    if (head === undefined) return;
    const domain = head.fabricDomain;
    if (domainReservations.get(domain)?.model === model.name) domainReservations.delete(domain);
    const ids = members.map(({ id }) => id);
    runOperation(ids, model.name, async () => {
      const startMs = timers.getMonotonicMs();
      const expectedMs = computeExpectedMs(model, members);
      const { group, areJoinsLate, failedIds, unopened } = await groupOperations.formGroup(
        model,
        members,
        expectedMs,
        () => issueGroup(head, ids),
      );
      if (unopened !== undefined) headRegistry.recordEnd({ service: head.service, ...unopened });
      excludeEngines(failedIds, FAILED_ORDER_EXCLUSION_MS);
      if (group === undefined) {
        ids.forEach((id) => orderedEpochs.delete(id));
        return;
      }
      if (!areJoinsLate) settledEpochs.add(group.epoch);
      const tookMs = Math.round(timers.getMonotonicMs() - startMs);
      logger.info('formed a group', {
        group: group.name,
        model: model.name,
        members: ids.join(' '),
        domain,
        tookMs,
      });
      await timers.waitFor(getOpenMs(head) + 200);
    });
  };

  const stageModel = (engine: Target, model: ModelSpec): void => {
    staging.set(engine.id, model.name);
    loadStartsMs.push(timers.getMonotonicMs());
    const orderAndWait = async (): Promise<void> => {
      const result = await control.sendOrder(engine, { kind: 'stage', model: model.name });
      const context = { engine: engine.id, model: model.name, result };
      logger.info('ordered an engine to stage a model', context);
      const limitMs =
        result === OrderResult.Accepted ? model.loadMs * 2 : FAILED_ORDER_EXCLUSION_MS;
      const untilMs = timers.getMonotonicMs() + limitMs;
      while (timers.getMonotonicMs() < untilMs) {
        if (fleet.findTarget(engine.id)?.stagedModels.includes(model.name) !== false) break;
        await timers.waitFor(STAGING_CHECK_PERIOD_MS);
      }
    };
    orderAndWait()
      .catch((error: unknown) =>
        logger.error('failed to stage a model', { engine: engine.id, problem: String(error) }),
      )
      .finally(() => staging.delete(engine.id));
  };

  /** Queries engines that were not queried recently and excludes those that do not respond. */
  const excludeUnresponsive = async (members: readonly Target[]): Promise<void> => {
    const now = timers.getMonotonicMs();
    const due = members.filter(
      ({ id }) => now - (lastQueryMs.get(id) ?? -Infinity) > RESPONSE_CHECK_PERIOD_MS,
    );
    for (const [id, queryMs] of lastQueryMs) {
      if (now - queryMs > RESPONSE_CHECK_PERIOD_MS) lastQueryMs.delete(id);
    }
    due.forEach(({ id }) => lastQueryMs.set(id, now));
    const reachability = await Promise.all(
      due.map((member) => groupOperations.isReachable(member)),
    );
    const unresponsiveIds = due.filter((_, index) => !reachability[index]).map(({ id }) => id);
    if (unresponsiveIds.length === 0) return;
    logger.warn('engines do not answer', { engines: unresponsiveIds.join(' ') });
    excludeEngines(unresponsiveIds, UNRESPONSIVE_EXCLUSION_MS);
  };

  const dissolveGroup = (action: Extract<FormationAction, { kind: 'dissolve' }>): void => {
    const { group, isGraceful } = action;
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const isClosed = (await groupOperations.closeGroup(group, isGraceful)) === CloseResult.Closed;
      logger.info('closed a group', { group: group.name, isGraceful, isClosed });
      if (isClosed) headRegistry.recordEnd(group);
      if (!isClosed && group.headEngine !== undefined)
        await excludeUnresponsive([group.headEngine]);
    });
  };

  const retireGroup = (group: EngineGroup, model: ModelSpec): void => {
    const domain = group.fabricDomain;
    domainReservations.set(domain, {
      model: model.name,
      untilMs: timers.getMonotonicMs() + DOMAIN_RESERVATION_MS,
    });
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const isClosed = (await groupOperations.closeGroup(group, true)) === CloseResult.Closed;
      const context = { group: group.name, domain, forModel: model.name, isClosed };
      logger.info('retired a group for another model', context);
      if (isClosed) headRegistry.recordEnd(group);
      else domainReservations.delete(domain);
    });
  };

  const applyAction = (action: FormationAction): void => {
    if (action.kind === 'form') formGroup(action.model, action.members);
    else if (action.kind === 'retire') retireGroup(action.group, action.model);
    else if (action.kind === 'stage') stageModel(action.engine, action.model);
    else dissolveGroup(action);
  };

  /**
   * Whether a head without an entry, which has not confirmed that it closed its group, is given up. A head
   * that refuses connections may be leaving: it is given up when it has no more requests, and not before
   * the stall time.
   */
  const isHeadLost = async (
    group: EngineGroup,
    head: Target,
    result: CloseResult,
  ): Promise<boolean> => {
    if (result === CloseResult.NotListening) {
      return headRegistry.recordNotListening(group) && options.countInFlight(head.id) === 0;
    }
    return (
      !options.hasRequestsOfOtherGateways(head.id) && !(await groupOperations.isReachable(head))
    );
  };

  /**
   * Orders the members of a group to leave it, as its head cannot be asked. The head may be alive where
   * only this process and the store do not reach it, so that a member is free only by its own word. If a
   * late order may bring members back, they are used when the head, which has lost them, has broken the
   * group. Waits until the entries show the members that have left as free.
   */
  const orderMembersToLeave = async (group: EngineGroup): Promise<void> => {
    const leftIds = await groupOperations.orderToLeave(listMembers(group), group.name, group.epoch);
    if (leftIds.length === 0) {
      await timers.waitFor(HEAD_QUERY_PERIOD_MS);
      return;
    }
    logger.warn('ordered the members of a group without a head to leave it', {
      group: group.name,
      left: leftIds.join(' '),
    });
    const breakMs = settledEpochs.has(group.epoch) ? 0 : stallMs + BREAK_MARGIN_MS;
    const usableFromMs = timers.getMonotonicMs() + breakMs;
    leftIds.forEach((id) => departures.set(id, { epoch: group.epoch, usableFromMs }));
    const untilMs = timers.getMonotonicMs() + DEPARTURE_ENTRY_WAIT_MS;
    const isShown = (id: string): boolean => fleet.findTarget(id)?.group?.epoch === group.epoch;
    while (leftIds.some(isShown) && timers.getMonotonicMs() < untilMs) {
      await timers.waitFor(DEPARTURE_CHECK_PERIOD_MS);
    }
  };

  /**
   * Closes a group whose head has no store entry. If the head is lost, its members leave the group.
   */
  const closeGroupWithoutHeadEntry = (group: EngineGroup, head: Target): void => {
    headRegistry.markCloseRequested(group);
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const result = await groupOperations.closeGroup({ ...group, headEngine: head }, false);
      const isClosed = result === CloseResult.Closed;
      const isLost = !isClosed && (await isHeadLost(group, head, result));
      const isAlive = !isClosed && !isLost;
      const context = { group: group.name, head: head.id, result, isAlive };
      logger.info('tried to close a group whose head has no entry', context);
      if (isClosed) {
        headRegistry.recordEnd(group);
        return;
      }
      if (isLost) await orderMembersToLeave(group);
      else await timers.waitFor(HEAD_QUERY_PERIOD_MS);
      headRegistry.resetCloseRequest(group);
    });
  };

  const endGroupOfUnknownHead = (group: EngineGroup): void => {
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, () => orderMembersToLeave(group));
  };

  /** Orders a head whose entry does not show an open group to leave it, unless it has opened it since. */
  const releaseHead = (group: EngineGroup): void => {
    const head = headRegistry.findHeadToRelease(group);
    if (head === undefined) return;
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const hasLeft = await groupOperations.releaseHead(head, group.name, group.epoch);
      if (hasLeft) headRegistry.recordEnd(group);
      else await timers.waitFor(HEAD_QUERY_PERIOD_MS);
    });
  };

  const hasActiveOperation = (group: EngineGroup): boolean =>
    [...activeOperations].some(({ ids }) => listMembers(group).some(({ id }) => ids.includes(id)));

  /** Whether the entry of an engine was last written before the engine joined a group. */
  const isAwaitingEntry = ({ id }: Target, { epoch }: EngineGroup): boolean =>
    orderedEpochs.get(id)?.epoch === epoch && fleet.findTarget(id) !== undefined;

  /**
   * Returns the members of groups that may be open or may still open, and those that a late order may
   * bring back into one. Also starts to close those groups whose head has no entry, and orders the other
   * heads that do not serve to leave.
   */
  const resolvePossiblyOpenGroups = (service: string): Set<string> => {
    const possiblyOpenIds = new Set<string>();
    for (const group of fleet.listServiceGroups(service)) {
      if (headRegistry.hasEnded(group)) continue;
      // A running operation does not cover members whose entries reappeared after it started.
      listMembers(group).forEach(({ id }) => possiblyOpenIds.add(id));
      const headId = headRegistry.findHeadId(group);
      if (headId !== undefined) possiblyOpenIds.add(headId);
      if (hasActiveOperation(group)) continue;
      const head = headRegistry.findHeadToClose(group);
      if (head !== undefined && !isAwaitingEntry(head, group)) {
        closeGroupWithoutHeadEntry(group, head);
      } else if (headRegistry.isHeadUnknown(group)) endGroupOfUnknownHead(group);
      releaseHead(group);
    }
    const now = timers.getMonotonicMs();
    for (const [id, { usableFromMs }] of departures) {
      if (now < usableFromMs) possiblyOpenIds.add(id);
    }
    return possiblyOpenIds;
  };

  /** Returns the groups that the entries show, without those that have ended since. */
  const listCurrentGroups = (service: string): EngineGroup[] =>
    fleet.listServiceGroups(service).filter((group) => !headRegistry.hasEnded(group));

  /**
   * Returns the engines whose entries do not show the ordered join yet. Also drops the records of
   * joins that the entries show or that are older than the entry lag.
   */
  const listIdsAwaitingEntry = (): string[] => {
    const now = timers.getMonotonicMs();
    for (const [id, { epoch, untilMs }] of orderedEpochs) {
      const shown = fleet.findTarget(id)?.group?.epoch ?? -1;
      if (shown >= epoch || now >= untilMs) orderedEpochs.delete(id);
    }
    return [...orderedEpochs.keys()];
  };

  const computeLoadBudget = (spec: EngineSpec): number => {
    const now = timers.getMonotonicMs();
    if (!options.isInitialFormationOver()) return MAX_LOADS_BEFORE_TRAFFIC;
    loadStartsMs = loadStartsMs.filter((startMs) => now - startMs < LOAD_WINDOW_MS);
    const byRate = Math.floor(spec.loadsPerSecond) - 1 - loadStartsMs.length;
    return Math.min(byRate, spec.maxUnslowedLoads - staging.size);
  };

  /** Whether the set of engines has been stable for long enough, or the wait has timed out. */
  const hasRegistrationSettled = (service: string): boolean => {
    const now = timers.getMonotonicMs();
    const count = fleet.listTargets(service).length;
    const known = engineCounts.get(service) ?? { count: 0, waitStartedMs: now, lastChangedMs: now };
    if (known.count !== count) {
      known.count = count;
      known.lastChangedMs = now;
    }
    engineCounts.set(service, known);
    return (
      now - known.lastChangedMs >= REGISTRATION_SETTLE_MS ||
      now - known.waitStartedMs >= REGISTRATION_SETTLE_LIMIT_MS
    );
  };

  const planService = (service: ServiceSpec, spec: EngineSpec): void => {
    const isInitialFormation = !options.isInitialFormationOver();
    if (isInitialFormation && !hasRegistrationSettled(service.name)) return;
    const actions = planFormation({
      spec,
      engines: fleet.listTargets(service.name),
      groups: listCurrentGroups(service.name),
      reservedEngineIds: new Set([
        ...[...activeOperations].flatMap(({ ids }) => ids),
        ...listIdsAwaitingEntry(),
      ]),
      formingModels: [...activeOperations].flatMap(({ model }) => model ?? []),
      excludedIds: new Set(excludedUntilMs.keys()),
      possiblyOpenIds: resolvePossiblyOpenGroups(service.name),
      staging,
      reservedModelByDomain: new Map(
        [...domainReservations].map(([domain, { model }]) => [domain, model]),
      ),
      countInFlight: options.countInFlight,
      isZoneEvacuated,
      isInitialFormation,
      loadBudget: computeLoadBudget(spec),
      engineShares: computeEngineShares(spec, (model) => options.getDemand(service.name, model)),
    });
    actions.forEach(applyAction);
  };

  const updateTerm = (): void => {
    const current = getTerm();
    if (current === term) return;
    term = current;
    // A leader whose renewals were late continues in the same term, where epochs must not repeat.
    if (term === 0 || term === epochTerm) return;
    epochTerm = term;
    termSinceMs = timers.getMonotonicMs();
    epochCount = 0;
    staging.clear();
  };

  const plan = (): void => {
    updateTerm();
    const now = timers.getMonotonicMs();
    // A process that is not the leader only records the heads, in case it becomes the leader.
    if (term === 0 && now - headsUpdatedMs < FOLLOWER_UPDATE_PERIOD_MS) return;
    headsUpdatedMs = now;
    for (const [id, untilMs] of excludedUntilMs) if (now >= untilMs) excludedUntilMs.delete(id);
    for (const id of departures.keys()) {
      if (fleet.findTarget(id) === undefined) departures.delete(id);
    }
    for (const [domain, { untilMs }] of domainReservations) {
      if (now >= untilMs) domainReservations.delete(domain);
    }
    options
      .listServices()
      .forEach(({ name }) => headRegistry.update(fleet.listServiceGroups(name)));
    if (term === 0 || !options.isTargetCopyFresh()) return;
    if (options.hasPredecessor() && now - termSinceMs < TAKEOVER_DELAY_MS) return;
    for (const service of options.listServices()) {
      if (service.engine !== undefined) planService(service, service.engine);
    }
  };

  const stopPlanning = timers.subscribe(PLAN_PERIOD_MS, plan);

  return {
    handleSuspect(targetId) {
      if (!canSendOrders()) return;
      const target = fleet.findTarget(targetId);
      if (target?.group === undefined) return;
      const { name, epoch } = target.group;
      const group = fleet
        .listServiceGroups(target.service)
        .find((one) => one.name === name && one.epoch === epoch);
      if (group === undefined) return;
      void excludeUnresponsive(listMembers(group));
    },
    listHeadLocations: headRegistry.listLocations,
    addHeadLocations: headRegistry.addLocations,
    stop: stopPlanning,
  };
}
