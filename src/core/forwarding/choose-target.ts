import type { Advisories } from '../advisories/index.ts';
import type { EngineGroup, Fleet, Target, TargetMonitor } from '../fleet/index.ts';
import { computeTargetHash, GroupState, areAllMembersOperational } from '../fleet/index.ts';
import type { FreeSlots, PlaceKey, Position } from '../placement/index.ts';
import {
  computeBorrowableShare,
  computeBorrowEveryMs,
  computeOwnSlots,
  createBorrowing,
  formatRequestKey,
} from '../placement/index.ts';
import type { ServiceSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Dependencies of the target chooser. */
export interface TargetChooserOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  fleet: Fleet;
  monitor: TargetMonitor;
  advisories: Pick<Advisories, 'findLimit' | 'getPauseMs' | 'hasTurn' | 'takeTurn'>;
  /** Whether operators have evacuated an availability zone. */
  isZoneEvacuated(availabilityZone: string): boolean;
  /** Returns the position of this gateway among all; they share the limits of cold targets. */
  getPosition(): Position;
  /** Returns the rate of the requests of all gateways that compete for the places of a key. */
  getRequestsPerSecond(key: PlaceKey): number;
  /** Returns a random number from 0 to 1, to break ties and to draw samples. */
  random(): number;
}

/** What a request needs, and the targets that it has already tried. */
export interface TargetQuery {
  service: ServiceSpec;
  model: string | undefined;
  triedIds: ReadonlySet<string>;
  /** Requests that a target may hold to be chosen; undefined for any number. */
  maxInFlight?: number | undefined;
}

/** What the usable targets of a service and model can process. */
export interface TargetCapacity {
  targetCount: number;
  /** Requests at once; a target with a limit counts as the slots that its requests fill. */
  slots: number;
  /** Mean time between two slots that this gateway may borrow; Infinity if none is free. */
  borrowEveryMs: number;
  /** Whether each of the targets limits its requests, or wants none for a time. */
  areAllLimited: boolean;
  /** Time until the first target takes requests again, in ms; 0 if one does now. */
  pauseMs: number;
}

/** Chooses targets for requests. */
export interface TargetChooser {
  /**
   * Returns the target to send to, or undefined if none can accept the request now. If the target is
   * cold or limits its requests, this also takes one of those that this gateway may send it.
   */
  chooseTarget(query: TargetQuery): Target | undefined;
  /**
   * Counts the targets that could be chosen now if they had places; `maxInFlight` is ignored, but not
   * the limits that targets state.
   */
  countReadyTargets(query: TargetQuery): number;
  /** Computes what the usable targets can process, of requests that take the given mean time. */
  computeCapacity(query: TargetQuery, durationMs: number): TargetCapacity;
}

/** Added cost factor of a target that failed all recent requests: its load counts 1 + 8 times. */
const FAILURE_PENALTY = 8;
/** The limit of a cold target holds for any second, so sends count for slightly longer. */
const COLD_WINDOW_MS = 1_050;
const MS_PER_SECOND = 1_000;
/**
 * Most gateways with which all targets are ranked by load. With more gateways, the loads of the
 * others are some hundred ms old, and all gateways would send to the same least loaded target until
 * they learn of it; with 85 gateways, this lowers the score of a test day from 0.94 to 0.73. Each
 * gateway then compares two targets picked at random.
 */
const MAX_GATEWAYS_FOR_FULL_RANKING = 12;
/** Number of targets that are picked at random and compared by load. */
const SAMPLED_TARGET_COUNT = 2;

function compareByZone(left: Target, right: Target): number {
  const [leftKey, rightKey] = [left, right].map(({ availabilityZone, id }) => [
    availabilityZone,
    id,
  ]);
  return String(leftKey) < String(rightKey) ? -1 : 1;
}

/**
 * Creates a chooser of the least loaded target that is not leaving and not suspect; of engines, only
 * heads of complete, open groups are chosen. Suspect targets are used if all candidates are suspect.
 */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const { timers, fleet, monitor, advisories, isZoneEvacuated, getPosition, random } = options;
  const borrowing = createBorrowing(timers);
  /** Monotonic times of the sends to cold targets within the window, by target. */
  const coldSends = new Map<string, number[]>();

  const isUsable = (target: Target): boolean =>
    !target.isLeaving && !isZoneEvacuated(target.availabilityZone);

  const isGroupUsable = (group: EngineGroup, query: TargetQuery): boolean => {
    const spec = query.service.engine?.models.find(({ name }) => name === group.model);
    if (spec === undefined || (query.model !== undefined && group.model !== query.model)) {
      return false;
    }
    if (group.headEngine?.group?.state !== GroupState.Open) return false;
    return areAllMembersOperational(group, spec.groupSize) && group.membersByRank.every(isUsable);
  };

  /** Lists plain targets, or the heads of complete open groups. */
  const listUsable = (query: TargetQuery): Target[] => {
    const { service } = query;
    return service.engine === undefined
      ? fleet.listTargets(service.name).filter(isUsable)
      : fleet
          .listServiceGroups(service.name)
          .filter((group) => isGroupUsable(group, query))
          .flatMap((group) => group.headEngine ?? []);
  };

  const isCold = (target: Target): boolean =>
    timers.getMonotonicMs() < target.receivedMs + target.coldRemainingMs;

  /**
   * Returns this gateway's share of a cold target's request limit. If gateways outnumber the
   * requests, some gateways get none.
   */
  const computeColdLimitShare = (target: Target, service: ServiceSpec): number => {
    const { index, count } = getPosition();
    const requestLimit = Math.floor(service.coldRequestsPerSecond);
    const turn = (index + computeTargetHash(target.id)) % count;
    return Math.floor(requestLimit / count) + (turn < requestLimit % count ? 1 : 0);
  };

  /** Removes the sends before the window, and the targets without any in it; most are gone. */
  const removeOldColdSends = (now: number): void => {
    for (const [targetId, sends] of coldSends) {
      const recent = sends.findIndex((atMs) => now - atMs < COLD_WINDOW_MS);
      if (recent < 0) coldSends.delete(targetId);
      else if (recent > 0) sends.splice(0, recent);
    }
  };

  /** Reserves one of a cold target's requests of this second; false if none is left. */
  const reserveColdRequest = (target: Target, service: ServiceSpec): boolean => {
    if (service.coldRequestsPerSecond <= 0 || !isCold(target)) return true;
    const now = timers.getMonotonicMs();
    removeOldColdSends(now);
    const sends = coldSends.get(target.id) ?? [];
    coldSends.set(target.id, sends);
    if (sends.length >= computeColdLimitShare(target, service)) return false;
    sends.push(now);
    return true;
  };

  const computeCost = (target: Target): number => {
    const inFlight = monitor.countInFlight(target.id) + 1;
    return inFlight * (1 + FAILURE_PENALTY * monitor.getFailureShare(target.id)) + random() / 2;
  };

  const hasPlace = (target: Target, { maxInFlight = Infinity }: TargetQuery): boolean =>
    monitor.countInFlight(target.id) < maxInFlight;

  /** Returns the targets in random order. */
  const shuffleTargets = (targets: readonly Target[]): Target[] => {
    const order = targets.map((target) => ({ target, position: random() }));
    return order.sort((left, right) => left.position - right.position).map(({ target }) => target);
  };

  const rankTargets = (targets: readonly Target[]): Target[] =>
    targets
      .map((target) => ({ target, cost: computeCost(target) }))
      .sort((left, right) => left.cost - right.cost)
      .map(({ target }) => target);

  /**
   * Orders targets without slots of their own: all by load, or, with many gateways, the better one of
   * two picked at random first.
   */
  const orderPlainTargets = (targets: readonly Target[]): Target[] => {
    if (getPosition().count <= MAX_GATEWAYS_FOR_FULL_RANKING) return rankTargets(targets);
    const shuffled = shuffleTargets(targets);
    const sample = rankTargets(shuffled.slice(0, SAMPLED_TARGET_COUNT));
    return [...sample, ...shuffled.slice(SAMPLED_TARGET_COUNT)];
  };

  const isLimited = (target: Target): boolean => advisories.findLimit(target) !== undefined;

  /**
   * Lists the targets where this gateway has a slot of its own that is free, and those that limit
   * their requests and take one from it now.
   */
  const listWithOwnSlot = (
    targets: readonly Target[],
    unlimited: readonly Target[],
    slots: number,
  ): Target[] => {
    const position = getPosition();
    const order = [...unlimited].sort(compareByZone);
    return targets.filter((target) => {
      if (isLimited(target)) return advisories.hasTurn(target);
      const placed = { index: order.indexOf(target), count: order.length, slots };
      return monitor.countLocalInFlight(target.id) < computeOwnSlots(placed, position);
    });
  };

  /** Computes the free slots of targets, up to a number of slots of each. */
  const computeFreeSlots = (
    { service, model }: TargetQuery,
    targets: readonly Target[],
    slots: number,
  ): FreeSlots => ({
    slots: targets.reduce((sum, { id }) => sum + Math.max(0, slots - monitor.countInFlight(id)), 0),
    gateways: getPosition().count,
    requestsPerSecond: options.getRequestsPerSecond(formatRequestKey(service, model)),
  });

  /**
   * Lists engines with free slots that are not this gateway's own, in random order; none if it has
   * taken its part of these slots, as the other gateways' requests are known late.
   */
  const listBorrowable = (
    query: TargetQuery,
    targets: readonly Target[],
    unlimitedCount: number,
    slots: number,
  ): Target[] => {
    const borrowableSlots =
      slots * computeBorrowableShare(unlimitedCount * slots, getPosition().count);
    const free = targets.filter(({ id }) => monitor.countInFlight(id) < borrowableSlots);
    if (free.length === 0) return [];
    const key = formatRequestKey(query.service, query.model);
    const mayBorrow = borrowing.takeSlot(key, computeFreeSlots(query, free, slots));
    return mayBorrow ? shuffleTargets(free) : [];
  };

  /** Orders the engines where this gateway has a free slot of its own. */
  const orderOwn = (
    targets: readonly Target[],
    all: readonly Target[],
    slots: number,
  ): Target[] => {
    const unlimited = all.filter((target) => !isLimited(target));
    return rankTargets(listWithOwnSlot(targets, unlimited, slots));
  };

  /**
   * Orders the engines with slots of others: one of two picked at random that seem to have a free slot
   * first; a request that was begun goes to any.
   */
  const orderShared = (
    query: TargetQuery,
    targets: readonly Target[],
    all: readonly Target[],
    slots: number,
  ): Target[] => {
    const unlimitedCount = all.filter((target) => !isLimited(target)).length;
    const shared = listBorrowable(query, targets, unlimitedCount, slots);
    const sample = rankTargets(shared.slice(0, SAMPLED_TARGET_COUNT));
    const isAnyLoadAllowed = query.maxInFlight === undefined;
    return [...sample, ...shared, ...(isAnyLoadAllowed ? rankTargets(targets) : [])];
  };

  /** Leaves out the suspect and the tried targets; suspect ones remain if there are no others. */
  const selectTrusted = (usable: readonly Target[], query: TargetQuery): Target[] => {
    const candidates = usable.filter(({ id }) => !query.triedIds.has(id));
    const trusted = candidates.filter(({ id }) => !monitor.isSuspect(id));
    return trusted.length > 0 ? trusted : candidates;
  };

  const reserveRequest = (target: Target, service: ServiceSpec): boolean =>
    advisories.hasTurn(target) &&
    reserveColdRequest(target, service) &&
    advisories.takeTurn(target);

  return {
    countReadyTargets: (query) =>
      selectTrusted(listUsable(query), query).filter(advisories.hasTurn).length,
    computeCapacity(query, durationMs) {
      const targets = selectTrusted(listUsable(query), query);
      const slots = query.service.engine?.slots ?? Infinity;
      const pauseMs = Math.min(...targets.map(advisories.getPauseMs));
      const active = targets.filter((target) => advisories.getPauseMs(target) <= pauseMs);
      const limits = active.map(advisories.findLimit);
      return {
        targetCount: targets.length,
        pauseMs: targets.length === 0 ? 0 : pauseMs,
        borrowEveryMs: computeBorrowEveryMs(
          computeFreeSlots(query, active, query.service.engine?.slots ?? 0),
        ),
        slots: limits.reduce<number>((sum, limit) => {
          const filled = limit === undefined ? slots : (limit * durationMs) / MS_PER_SECOND;
          return sum + Math.min(slots, filled);
        }, 0),
        areAllLimited:
          limits.length > 0 && (pauseMs > 0 || limits.every((limit) => limit !== undefined)),
      };
    },
    chooseTarget(query) {
      const usable = listUsable(query);
      const withPlace = selectTrusted(usable, query).filter((target) => hasPlace(target, query));
      const { engine } = query.service;
      const isReserved = (target: Target): boolean => reserveRequest(target, query.service);
      if (engine === undefined) return orderPlainTargets(withPlace).find(isReserved);
      // A slot of its own may be at a target that is cold and takes no more from this gateway.
      return (
        orderOwn(withPlace, usable, engine.slots).find(isReserved) ??
        orderShared(query, withPlace, usable, engine.slots).find(isReserved)
      );
    },
  };
}
