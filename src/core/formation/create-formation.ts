import type { EngineGroup, Fleet, Target } from '../fleet/index.ts';
import { formatGroupKey } from '../fleet/index.ts';
import type { Logger } from '../logs/index.ts';
import type { EngineSpec, ModelSpec, ServiceSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createHeadBook } from './head-book.ts';
import type { HeadNote } from './head-book.ts';
import { CloseResult, createOperations } from './operations.ts';
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
  /** Returns the services of the active configuration; only those with engines form groups. */
  listEngineServices(): readonly ServiceSpec[];
  /** Returns the leadership term under which orders may be sent now; 0 if not the leader. */
  getTerm(): number;
  /** Whether the local copy of the target entries is recent enough to act on. */
  isViewFresh(): boolean;
  /** Whether any gateway has received a request. */
  hasTraffic(): boolean;
  isZoneOut(availabilityZone: string): boolean;
  /** Returns the number of requests in progress at a target, summed over all gateways. */
  countInFlight(targetId: string): number;
  /** Whether another gateway has requests in progress at a target, which then counts as alive. */
  isServingElsewhere(targetId: string): boolean;
  /** Time after which a group whose head or members do not respond breaks, in ms. */
  stallMs: number;
}

/** Forms, repairs and closes engine groups while this process is the leader. */
export interface Formation {
  /** Probes the group of a target that a gateway found silent or unreachable. */
  handleSuspect(targetId: string): void;
  /** Returns where the heads of the groups are, for the next leader. */
  listHeadNotes(): HeadNote[];
  /** Adds the head locations that the previous leader stored. */
  addHeadNotes(notes: readonly HeadNote[]): void;
  stop(): void;
}

/** Interval between planning runs. */
const PLAN_PERIOD_MS = 60;
/** Interval at which a process that is not the leader records the heads of groups. */
const IDLE_UPDATE_MS = 500;
/** Epochs reserved for one term; a term never forms more groups than this. */
const EPOCHS_PER_TERM = 100_000;
/** An engine that did not respond is excluded from plans for this long, then probed again. */
const UNREACHABLE_MS = 4_000;
/** An engine whose order failed is excluded from plans for this long. */
const FAILED_MS = 1_000;
/** Minimum interval between two reachability probes of an engine. */
const ASK_PERIOD_MS = 500;
/** Duration of a join on an engine that still has the model of its last group loaded. */
const SAME_MODEL_JOIN_MS = 200;
/**
 * Most loads that one plan may start before the first request arrives. Beyond the first few,
 * concurrent loads slow each other down.
 */
const CONCURRENT_EARLY_LOADS = 60;
/**
 * Window over which the start rate of loads is limited. The budget stays one load below the
 * permitted rate of five per second.
 */
const LOAD_WINDOW_MS = 1_000;
/** Delay after the start of a term, while groups of an earlier leader may still be opening. */
const TAKEOVER_MS = 700;

/**
 * At the first start, engines register over several seconds. Planning waits until the number of
 * engines has not changed for this long.
 */
const SETTLE_MS = 600;
/** The first plan is made at most this long after the wait began. */
const SETTLE_LIMIT_MS = 5_000;

/** Delay before a head that serves, or did not respond, is asked again whether it has stopped. */
const CONFIRM_PERIOD_MS = 400;
/**
 * A fabric domain that retired groups for a model but could not form a group of it should form
 * groups of other models again after this time. The deadline is recorded but not enforced.
 */
const COLLECT_LIMIT_MS = 7_000;
/** Longest time for which an engine's store entry may show a state from before an order. */
const ENTRY_LAG_MS = 6_000;

function listMembers(group: EngineGroup): Target[] {
  return group.members.filter((member) => member !== undefined);
}

interface Operation {
  ids: string[];
  model: string | undefined;
}

/** Starts the periodic planning of groups. */
export function startFormation(options: FormationOptions): Formation {
  const { timers, logger, fleet, control, getTerm, isZoneOut, stallMs } = options;
  const operations = new Set<Operation>();
  const unreachable = new Map<string, number>();
  const askedMs = new Map<string, number>();
  const staging = new Map<string, string>();
  /** Epochs of the joins ordered, by engine, until the entries show these or later epochs. */
  const orderedEpochs = new Map<string, { epoch: number; untilMs: number }>();
  /** Fabric domains that retire groups in favour of a model, until its group is formed. */
  const collecting = new Map<string, { model: string; untilMs: number }>();
  /** Times at which groups were closed, by group key, until the entries show it. */
  const closedGroups = new Map<string, number>();
  const heads = createHeadBook({ timers, isUnreachable: (id) => unreachable.has(id), stallMs });
  const arrivals = new Map<string, { count: number; sinceMs: number; changedMs: number }>();
  let loadStartsMs: number[] = [];
  let term = 0;
  let termSinceMs = 0;
  /** Term that the epochs belong to; kept while it is unclear whether the lease is still held. */
  let epochTerm = 0;
  let epochCount = 0;
  let headsUpdatedMs = -Infinity;

  const mayAct = (): boolean => term !== 0 && getTerm() === term;

  const steps = createOperations({
    timers,
    control,
    logger,
    findTarget: (id) => fleet.findTarget(id),
    mayAct,
  });

  const markUnreachable = (ids: readonly string[], forMs: number): void => {
    const untilMs = timers.getMonotonicMs() + forMs;
    ids.forEach((id) => unreachable.set(id, untilMs));
  };

  const runOperation = (ids: string[], model: string | undefined, run: () => Promise<void>) => {
    const operation = { ids, model };
    operations.add(operation);
    run()
      .catch((error: unknown) =>
        logger.error('a group operation failed', { problem: String(error) }),
      )
      .finally(() => operations.delete(operation));
  };

  const computeExpectedMs = (model: ModelSpec, members: readonly Target[]): number => {
    const needed = members.map((one) => {
      if (one.loadedModel === model.name) return SAME_MODEL_JOIN_MS;
      if (one.stagedModels.includes(model.name)) return model.warmJoinMs;
      return model.loadMs;
    });
    return Math.max(...needed);
  };

  const getOpenMs = (member: Target | undefined): number =>
    options.listEngineServices().find(({ name }) => name === member?.service)?.engine?.openMs ?? 0;

  const form = (model: ModelSpec, members: Target[]): void => {
    const domain = members[0]?.fabricDomain ?? '';
    if (collecting.get(domain)?.model === model.name) collecting.delete(domain);
    const epoch = term * EPOCHS_PER_TERM + epochCount++;
    const name = `g${epoch}`;
    const ids = members.map(({ id }) => id);
    runOperation(ids, model.name, async () => {
      const startMs = timers.getMonotonicMs();
      ids.forEach((id) => orderedEpochs.set(id, { epoch, untilMs: startMs + ENTRY_LAG_MS }));
      const expectedMs = computeExpectedMs(model, members);
      const result = await steps.formGroup(name, epoch, model, members, expectedMs);
      markUnreachable(result.failedIds, FAILED_MS);
      if (!result.isOpen) {
        ids.forEach((id) => orderedEpochs.delete(id));
        return;
      }
      const tookMs = Math.round(timers.getMonotonicMs() - startMs);
      logger.info('formed a group', {
        group: name,
        model: model.name,
        members: ids.join(' '),
        domain,
        tookMs,
      });
      await timers.waitFor(getOpenMs(members[0]) + 200);
    });
  };

  const stage = (engine: Target, model: ModelSpec): void => {
    staging.set(engine.id, model.name);
    loadStartsMs.push(timers.getMonotonicMs());
    void control.sendOrder(engine, { kind: 'stage', model: model.name }).then(async (result) => {
      logger.info('staged a model', { engine: engine.id, model: model.name, result });
      const limitMs = result === OrderResult.Accepted ? model.loadMs * 2 : FAILED_MS;
      const untilMs = timers.getMonotonicMs() + limitMs;
      while (timers.getMonotonicMs() < untilMs) {
        if (fleet.findTarget(engine.id)?.stagedModels.includes(model.name) !== false) break;
        await timers.waitFor(100);
      }
      staging.delete(engine.id);
    });
  };

  /** Probes engines that were not probed recently and excludes those that do not respond. */
  const askMembers = async (members: readonly Target[]): Promise<void> => {
    const now = timers.getMonotonicMs();
    const due = members.filter(({ id }) => now - (askedMs.get(id) ?? -Infinity) > ASK_PERIOD_MS);
    due.forEach(({ id }) => askedMs.set(id, now));
    const found = await Promise.all(due.map((member) => steps.isReachable(member)));
    const gone = due.filter((_, index) => !found[index]).map(({ id }) => id);
    if (gone.length === 0) return;
    logger.warn('engines do not answer', { engines: gone.join(' ') });
    markUnreachable(gone, UNREACHABLE_MS);
  };

  const dissolve = (action: Extract<FormationAction, { kind: 'dissolve' }>): void => {
    const { group } = action;
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const isClosed = (await steps.closeGroup(group, false)) === CloseResult.Closed;
      logger.info('closed a group', { group: group.name, epoch: group.epoch, isClosed });
      if (isClosed) closedGroups.set(formatGroupKey(group), timers.getMonotonicMs());
      if (!isClosed && group.head !== undefined) await askMembers([group.head]);
    });
  };

  const retire = (group: EngineGroup, model: ModelSpec): void => {
    const domain = group.fabricDomain;
    collecting.set(domain, {
      model: model.name,
      untilMs: timers.getMonotonicMs() + COLLECT_LIMIT_MS,
    });
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const isClosed = (await steps.closeGroup(group, true)) === CloseResult.Closed;
      const context = { group: group.name, domain, forModel: model.name, isClosed };
      logger.info('retired a group for another model', context);
      if (isClosed) closedGroups.set(formatGroupKey(group), timers.getMonotonicMs());
    });
  };

  const apply = (action: FormationAction): void => {
    if (action.kind === 'form') form(action.model, action.members);
    else if (action.kind === 'retire') retire(action.group, action.model);
    else if (action.kind === 'stage') stage(action.engine, action.model);
    else dissolve(action);
  };

  /** Closes a group whose head has no store entry; an unresponsive head counts as dead. */
  const endGroup = (group: EngineGroup, head: Target): void => {
    heads.markAsked(group);
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const result = await steps.closeGroup({ ...group, head }, false);
      const isClosed = result === CloseResult.Closed;
      const isAlive =
        !isClosed && (options.isServingElsewhere(head.id) || (await steps.isReachable(head)));
      if (result === CloseResult.NotListening && !isAlive) heads.setStopped(group);
      else heads.setEnded(group, !isAlive);
      const context = { group: group.name, head: head.id, result, isAlive };
      logger.info('tried to close a group whose head has no entry', context);
    });
  };

  /** Asks a head whose entry does not show an open group whether it has opened it since. */
  const confirmIdle = (group: EngineGroup): void => {
    const head = heads.findHeadToConfirm(group);
    if (head === undefined) return;
    const ids = listMembers(group).map(({ id }) => id);
    runOperation(ids, undefined, async () => {
      const isIdle = await steps.hasEnded(head, group.name, group.epoch);
      heads.setIdle(group, isIdle);
      if (!isIdle) await timers.waitFor(CONFIRM_PERIOD_MS);
    });
  };

  const isBusy = (group: EngineGroup): boolean =>
    [...operations].some(({ ids }) => listMembers(group).some(({ id }) => ids.includes(id)));

  /**
   * Returns the members of groups that may still be open although their entries do not show it.
   * Starts to close those whose head has no entry, and queries the other heads.
   */
  const listHeldIds = (service: string): Set<string> => {
    const held = new Set<string>();
    for (const group of fleet.listServiceGroups(service)) {
      if (!heads.mayBeOpen(group)) continue;
      // A running operation does not cover members whose entries reappeared after it started.
      listMembers(group).forEach(({ id }) => held.add(id));
      if (isBusy(group)) continue;
      const head = heads.findHeadToAsk(group);
      if (head !== undefined) endGroup(group, head);
      confirmIdle(group);
    }
    return held;
  };

  /** Returns the groups that the entries show, without those closed since. */
  const listGroupsAsClosed = (service: string): EngineGroup[] => {
    const now = timers.getMonotonicMs();
    for (const [key, closedMs] of closedGroups) {
      if (now - closedMs > ENTRY_LAG_MS) closedGroups.delete(key);
    }
    return fleet
      .listServiceGroups(service)
      .filter((group) => !closedGroups.has(formatGroupKey(group)));
  };

  /** Returns the engines whose entries do not show the ordered join yet. */
  const listLaggingIds = (): string[] => {
    const now = timers.getMonotonicMs();
    for (const [id, { epoch, untilMs }] of orderedEpochs) {
      const shown = fleet.findTarget(id)?.group?.epoch ?? -1;
      if (shown >= epoch || now >= untilMs) orderedEpochs.delete(id);
    }
    return [...orderedEpochs.keys()];
  };

  const countLoadBudget = (spec: EngineSpec): number => {
    const now = timers.getMonotonicMs();
    if (!options.hasTraffic()) return CONCURRENT_EARLY_LOADS;
    loadStartsMs = loadStartsMs.filter((startMs) => now - startMs < LOAD_WINDOW_MS);
    const byRate = Math.floor(spec.loadsPerSecond) - 1 - loadStartsMs.length;
    return Math.min(byRate, spec.concurrentLoads - staging.size);
  };

  /** Whether the set of engines has been stable for long enough, or the wait has timed out. */
  const hasSettled = (service: string): boolean => {
    const now = timers.getMonotonicMs();
    const count = fleet.listTargets(service).length;
    const known = arrivals.get(service) ?? { count: 0, sinceMs: now, changedMs: now };
    if (known.count !== count) {
      known.count = count;
      known.changedMs = now;
    }
    arrivals.set(service, known);
    return now - known.changedMs >= SETTLE_MS || now - known.sinceMs >= SETTLE_LIMIT_MS;
  };

  const planService = (service: ServiceSpec, spec: EngineSpec): void => {
    const isBeforeTraffic = !options.hasTraffic();
    if (isBeforeTraffic && !hasSettled(service.name)) return;
    const actions = planFormation({
      spec,
      engines: fleet.listTargets(service.name),
      groups: listGroupsAsClosed(service.name),
      busyEngineIds: new Set([...[...operations].flatMap(({ ids }) => ids), ...listLaggingIds()]),
      formingModels: [...operations].flatMap(({ model }) => model ?? []),
      unreachableIds: new Set(unreachable.keys()),
      heldIds: listHeldIds(service.name),
      staging,
      collecting: new Map([...collecting].map(([domain, { model }]) => [domain, model])),
      countInFlight: options.countInFlight,
      isZoneOut,
      isBeforeTraffic,
      loadBudget: countLoadBudget(spec),
      engineShares: new Map(spec.models.map((model) => [model.name, computeShare(spec, model)])),
    });
    actions.forEach(apply);
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
    if (term === 0 && now - headsUpdatedMs < IDLE_UPDATE_MS) return;
    headsUpdatedMs = now;
    for (const [id, untilMs] of unreachable) if (now >= untilMs) unreachable.delete(id);
    options.listEngineServices().forEach(({ name }) => heads.update(fleet.listServiceGroups(name)));
    if (term === 0 || !options.isViewFresh()) return;
    if (term > 1 && now - termSinceMs < TAKEOVER_MS) return;
    for (const service of options.listEngineServices()) {
      if (service.engine !== undefined) planService(service, service.engine);
    }
  };

  const stopPlanning = timers.subscribe(PLAN_PERIOD_MS, plan);

  return {
    handleSuspect(targetId) {
      if (!mayAct()) return;
      const target = fleet.findTarget(targetId);
      if (target?.group === undefined) return;
      const { name, epoch } = target.group;
      const group = fleet
        .listServiceGroups(target.service)
        .find((one) => one.name === name && one.epoch === epoch);
      if (group === undefined) return;
      void askMembers(listMembers(group));
    },
    listHeadNotes: heads.listNotes,
    addHeadNotes: heads.addNotes,
    stop: stopPlanning,
  };
}

/**
 * Returns the share of the engines that a model should have, from 0 to 1. Small groups serve more
 * requests per engine.
 */
function computeShare(spec: EngineSpec, model: ModelSpec): number {
  const total = spec.models.reduce((sum, one) => sum + one.initialShare, 0);
  return model.initialShare / Math.max(total, Number.EPSILON);
}
