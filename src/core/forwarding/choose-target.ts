import type { EngineGroup, Fleet, Target, TargetMonitor } from '../fleet/index.ts';
import { GroupState, areAllMembersOperational } from '../fleet/index.ts';
import type { ServiceSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Dependencies of the target chooser. */
export interface TargetChooserOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  fleet: Fleet;
  monitor: TargetMonitor;
  /** Whether operators have evacuated an availability zone. */
  isZoneEvacuated(availabilityZone: string): boolean;
  /** Returns the position of this gateway among all; they share the limits of cold targets. */
  getPosition(): GatewayPosition;
  /** Returns a random number from 0 to 1, to break ties and to draw samples. */
  random(): number;
}

/** Position of a gateway in an order that is the same for all gateways. */
export interface GatewayPosition {
  index: number;
  /** Number of gateways. */
  count: number;
}

/** What a request needs, and the targets that it has already tried. */
export interface TargetQuery {
  service: ServiceSpec;
  model: string | undefined;
  triedIds: ReadonlySet<string>;
}

/** Chooses targets for requests. */
export interface TargetChooser {
  /**
   * Returns the target to send to, or undefined if none can accept the request now. If the target is
   * cold, this also reserves one of the requests that its limit allows this gateway.
   */
  chooseTarget(query: TargetQuery): Target | undefined;
}

/** Added cost factor of a target that failed all recent requests: its load counts 1 + 8 times. */
const FAILURE_PENALTY = 8;
/** The limit of a cold target holds for any second, so sends count for slightly longer. */
const COLD_WINDOW_MS = 1_050;
/**
 * Most gateways with which all targets are ranked by load. With more gateways, the loads of the
 * others are some hundred ms old, and all gateways would send to the same least loaded target until
 * they learn of it; with 85 gateways, this lowers the score of a test day from 0.94 to 0.73. Each
 * gateway then compares two targets picked at random.
 */
const MAX_GATEWAYS_FOR_FULL_RANKING = 12;
/** Number of targets with a free slot that are picked at random and compared by load. */
const SAMPLED_TARGET_COUNT = 2;

/**
 * Returns a hash of the target id that distributes targets evenly over gateway positions: a
 * polynomial hash with the usual factor 31, modulo the largest prime below 2^16.
 */
function computeTargetHash(targetId: string): number {
  let sum = 0;
  for (let index = 0; index < targetId.length; index++) {
    sum = (sum * 31 + targetId.charCodeAt(index)) % 65_521;
  }
  return sum;
}

/**
 * Creates a chooser of the least loaded target that is not leaving and not suspect; of engines, only
 * heads of complete, open groups are chosen. Suspect targets are used if all candidates are suspect.
 */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const { timers, fleet, monitor, isZoneEvacuated, getPosition, random } = options;
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

  const listCandidates = (query: TargetQuery): Target[] => {
    const { service } = query;
    const all =
      service.engine === undefined
        ? fleet.listTargets(service.name).filter(isUsable)
        : fleet
            .listServiceGroups(service.name)
            .filter((group) => isGroupUsable(group, query))
            .flatMap((group) => group.headEngine ?? []);
    return all.filter(({ id }) => !query.triedIds.has(id));
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

  /** Reserves one of a cold target's requests of this second; false if none is left. */
  const reserveColdRequest = (target: Target, service: ServiceSpec): boolean => {
    if (service.coldRequestsPerSecond <= 0 || !isCold(target)) return true;
    const now = timers.getMonotonicMs();
    const sends = (coldSends.get(target.id) ?? []).filter((atMs) => now - atMs < COLD_WINDOW_MS);
    coldSends.set(target.id, sends);
    if (sends.length >= computeColdLimitShare(target, service)) return false;
    sends.push(now);
    return true;
  };

  const computeCost = (target: Target): number => {
    const inFlight = monitor.countInFlight(target.id) + 1;
    return inFlight * (1 + FAILURE_PENALTY * monitor.getFailureShare(target.id)) + random() / 2;
  };

  const hasFreeSlot = (target: Target, { engine }: ServiceSpec): boolean =>
    engine === undefined || monitor.countInFlight(target.id) < engine.slots;

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
   * Orders targets by preference, according to the known loads. The targets outside a random sample
   * follow in case those in it cannot accept the request.
   */
  const orderTargets = (targets: readonly Target[], service: ServiceSpec): Target[] => {
    if (getPosition().count <= MAX_GATEWAYS_FOR_FULL_RANKING) return rankTargets(targets);
    const shuffled = shuffleTargets(targets);
    const free = shuffled.filter((target) => hasFreeSlot(target, service));
    const full = shuffled.filter((target) => !hasFreeSlot(target, service));
    const sample = rankTargets(free.slice(0, SAMPLED_TARGET_COUNT));
    return [...sample, ...free.slice(SAMPLED_TARGET_COUNT), ...rankTargets(full)];
  };

  return {
    chooseTarget(query) {
      const candidates = listCandidates(query);
      const trusted = candidates.filter(({ id }) => !monitor.isSuspect(id));
      const ordered = orderTargets(trusted.length > 0 ? trusted : candidates, query.service);
      return ordered.find((target) => reserveColdRequest(target, query.service));
    },
  };
}
