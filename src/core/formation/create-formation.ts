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

/** What the formation of groups needs. */
export interface FormationOptions {
  timers: TimerService;
  logger: Logger;
  fleet: Fleet;
  control: EngineControl;
  /** Services whose engines form groups, in the configuration in force. */
  listEngineServices(): readonly ServiceSpec[];
  /** Term of the duty under which orders may be given now; 0 without. */
  getTerm(): number;
  /** Whether the copy of the entries is recent enough to act on. */
  isViewFresh(): boolean;
  /** Whether any gateway has seen a request. */
  hasTraffic(): boolean;
  isZoneOut(availabilityZone: string): boolean;
  /** Requests in progress at a target, over all gateways. */
  countInFlight(targetId: string): number;
  /** Whether another gateway has requests in progress at a target that answers it. */
  isServingElsewhere(targetId: string): boolean;
  stallMs: number;
}

/** Forms, repairs and ends groups while this process holds the duty. */
export interface Formation {
  /** A target was found silent or unreachable by a gateway. */
  handleSuspect(targetId: string): void;
  /** Heads of the groups, for the next holder of the duty. */
  listHeadNotes(): HeadNote[];
  /** Takes over what the holder before wrote down. */
  addHeadNotes(notes: readonly HeadNote[]): void;
  stop(): void;
}

/** Period of the planner. */
const PLAN_PERIOD_MS = 60;
/** Period at which a process without the duty notes the heads of groups. */
const IDLE_UPDATE_MS = 500;
/** Epochs of one term; a term never forms more groups than this. */
const EPOCHS_PER_TERM = 100_000;
/** An engine that did not answer is left out for this long, then asked again. */
const UNREACHABLE_MS = 4_000;
/** An engine whose order failed is left out of plans for this long. */
const FAILED_MS = 1_000;
/** An engine is asked at most this often whether it is there. */
const ASK_PERIOD_MS = 500;
/** Time of a join on an engine whose last group had the same model. */
const SAME_MODEL_JOIN_MS = 200;
/** Concurrent loads beyond the first few slow each other down. */
const CONCURRENT_EARLY_LOADS = 60;
/** Window of the ceiling on loads, with a margin below the permitted five. */
const LOAD_WINDOW_MS = 1_000;
/** Time after the start of a term in which groups of an earlier holder may still be opening. */
const TAKEOVER_MS = 700;

/** At the first start, engines register over some seconds; the plan waits until none came for this long. */
const SETTLE_MS = 600;
/** The first plan is made at the latest this long after the first engine. */
const SETTLE_LIMIT_MS = 5_000;

/** Pause before a head that serves, or does not answer, is asked again whether it is idle. */
const CONFIRM_PERIOD_MS = 400;
/** A domain that could not form what it gave up groups for forms others again after this time. */
const COLLECT_LIMIT_MS = 7_000;
/** Time for which an engine's entry may show a state from before an order. */
const ENTRY_LAG_MS = 6_000;

function listMembers(group: EngineGroup): Target[] {
  return group.members.filter((member) => member !== undefined);
}

interface Operation {
  ids: string[];
  model: string | undefined;
}

/** Starts the planner. */
export function startFormation(options: FormationOptions): Formation {
  const { timers, logger, fleet, control, getTerm, isZoneOut, stallMs } = options;
  const operations = new Set<Operation>();
  const unreachable = new Map<string, number>();
  const askedMs = new Map<string, number>();
  const staging = new Map<string, string>();
  /** Epochs of joins that were ordered, until the engines' entries show them or later ones. */
  const orderedEpochs = new Map<string, { epoch: number; untilMs: number }>();
  /** Domains that give up groups for a model, until the group is formed. */
  const collecting = new Map<string, { model: string; untilMs: number }>();
  /** Groups that were closed, with the time, until the entries show it. */
  const closedGroups = new Map<string, number>();
  const heads = createHeadBook({ timers, isUnreachable: (id) => unreachable.has(id), stallMs });
  const arrivals = new Map<string, { count: number; sinceMs: number; changedMs: number }>();
  let loadStartsMs: number[] = [];
  let term = 0;
  let termSinceMs = 0;
  /** Term that the epochs are counted in; it stays while the lease is in doubt. */
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
      .catch((error: unknown) => logger.error('an operation failed', { problem: String(error) }))
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

  /** Asks engines whether they are there, each at most so often. */
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

  /** Closes a group at a head without an entry; a head that does not answer counts as dead. */
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
      logger.info('ended a group whose head has no entry', context);
    });
  };

  /** Asks a head that shows as ready whether it has opened its group meanwhile. */
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

  /** Returns members whose group may still be open, and asks their heads to close it. */
  const listHeldIds = (service: string): Set<string> => {
    const held = new Set<string>();
    for (const group of fleet.listServiceGroups(service)) {
      if (!heads.mayBeOpen(group)) continue;
      // Members whose entries came back later are no part of an operation that is under way.
      listMembers(group).forEach(({ id }) => held.add(id));
      if (isBusy(group)) continue;
      const head = heads.findHeadToAsk(group);
      if (head !== undefined) endGroup(group, head);
      confirmIdle(group);
    }
    return held;
  };

  /** Groups as their entries show them, but for those that were closed meanwhile. */
  const listGroupsAsClosed = (service: string): EngineGroup[] => {
    const now = timers.getMonotonicMs();
    for (const [key, closedMs] of closedGroups) {
      if (now - closedMs > ENTRY_LAG_MS) closedGroups.delete(key);
    }
    return fleet
      .listServiceGroups(service)
      .filter((group) => !closedGroups.has(formatGroupKey(group)));
  };

  /** Engines whose entry does not show yet what was ordered. */
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

  /** Tells whether the engines of the first start are all there, as far as one can know. */
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
    // A holder whose renewals were late goes on in its own term, where epochs must not repeat.
    if (term === 0 || term === epochTerm) return;
    epochTerm = term;
    termSinceMs = timers.getMonotonicMs();
    epochCount = 0;
    staging.clear();
  };

  const plan = (): void => {
    updateTerm();
    const now = timers.getMonotonicMs();
    // Without the duty only the heads are noted, for the case that this process takes it.
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

/** Engines that a model should have, as a share: small groups serve more requests an engine. */
function computeShare(spec: EngineSpec, model: ModelSpec): number {
  const total = spec.models.reduce((sum, one) => sum + one.initialShare, 0);
  return model.initialShare / Math.max(total, Number.EPSILON);
}
