import type { EngineGroup, Fleet, Target, TargetMonitor } from '../fleet/index.ts';
import { GroupState, isWhole } from '../fleet/index.ts';
import type { ServiceSpec } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';

/** What the choice of a target depends on. */
export interface TargetChooserOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  fleet: Fleet;
  monitor: TargetMonitor;
  /** Zones that operators have taken out. */
  isZoneOut(availabilityZone: string): boolean;
  /** Position of this gateway among all, which share what a cold target can bear. */
  getPosition(): GatewayPosition;
  /** Returns a number from 0 to 1, for ties and samples. */
  random(): number;
}

/** Position of a gateway in the order that all gateways know. */
export interface GatewayPosition {
  index: number;
  /** Number of gateways. */
  count: number;
}

/** A request's wish, and what has been tried for it. */
export interface TargetQuery {
  service: ServiceSpec;
  model: string | undefined;
  excludedIds: ReadonlySet<string>;
}

/** Chooses targets for requests. */
export interface TargetChooser {
  /** Returns the target to send to, or undefined if none can take the request now. */
  chooseTarget(query: TargetQuery): Target | undefined;
}

/** How much a target that failed all recent requests counts as busier. */
const FAILURE_FACTOR = 8;
/** A cold target's bound holds for any second, so sends count for a little longer. */
const COLD_WINDOW_MS = 1_050;
/**
 * In larger fleets the loads of others are some hundred ms old. All gateways would send to the same
 * least loaded target until they hear of it (credit 0.73 against 0.94 with 85 gateways), so each
 * compares two that it picks at random.
 */
const FRESH_LOADS_GATEWAYS = 12;
const SAMPLE_SIZE = 2;

/** Returns a number that spreads targets evenly over positions. */
function computeSpread(targetId: string): number {
  let sum = 0;
  for (let index = 0; index < targetId.length; index++) {
    sum = (sum * 31 + targetId.charCodeAt(index)) % 65_521;
  }
  return sum;
}

/** Creates the chooser: the least loaded target that is whole, in force and not suspect. */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const { timers, fleet, monitor, isZoneOut, getPosition, random } = options;
  /** Times of the sends to cold targets within the window. */
  const coldSends = new Map<string, number[]>();

  const isUsable = (target: Target): boolean =>
    !target.isDraining && !isZoneOut(target.availabilityZone);

  const isServing = (group: EngineGroup, query: TargetQuery): boolean => {
    const spec = query.service.engine?.models.find(({ name }) => name === group.model);
    if (spec === undefined || (query.model !== undefined && group.model !== query.model)) {
      return false;
    }
    if (group.head?.group?.state !== GroupState.Open) return false;
    return isWhole(group, spec.groupSize) && group.members.every(isUsable);
  };

  const listCandidates = (query: TargetQuery): Target[] => {
    const { service } = query;
    const all =
      service.engine === undefined
        ? fleet.listTargets(service.name).filter(isUsable)
        : fleet
            .listServiceGroups(service.name)
            .filter((group) => isServing(group, query))
            .flatMap((group) => group.head ?? []);
    return all.filter(({ id }) => !query.excludedIds.has(id));
  };

  const isCold = (target: Target): boolean =>
    timers.getMonotonicMs() < target.receivedMs + target.coldRemainingMs;

  /** This gateway's part of a cold target's bound; with more gateways than places some have none. */
  const countColdShare = (target: Target, service: ServiceSpec): number => {
    const { index, count } = getPosition();
    const places = Math.floor(service.coldRequestsPerSecond);
    const rank = (index + computeSpread(target.id)) % count;
    return Math.floor(places / count) + (rank < places % count ? 1 : 0);
  };

  /** Takes a place among the requests that a cold target gets in this second. */
  const takeColdPlace = (target: Target, service: ServiceSpec): boolean => {
    if (service.coldRequestsPerSecond <= 0 || !isCold(target)) return true;
    const now = timers.getMonotonicMs();
    const sends = (coldSends.get(target.id) ?? []).filter((atMs) => now - atMs < COLD_WINDOW_MS);
    coldSends.set(target.id, sends);
    if (sends.length >= countColdShare(target, service)) return false;
    sends.push(now);
    return true;
  };

  const computeCost = (target: Target): number => {
    const busy = monitor.countInFlight(target.id) + 1;
    return busy * (1 + FAILURE_FACTOR * monitor.getFailureShare(target.id)) + random() / 2;
  };

  const hasPlace = (target: Target, { engine }: ServiceSpec): boolean =>
    engine === undefined || monitor.countInFlight(target.id) < engine.slots;

  /** Picks some targets at random; the others follow in case that those can take nothing. */
  const orderRandomly = (targets: readonly Target[]): Target[] => {
    const order = targets.map((target) => ({ target, position: random() }));
    return order.sort((left, right) => left.position - right.position).map(({ target }) => target);
  };

  const rankTargets = (targets: readonly Target[]): Target[] =>
    targets
      .map((target) => ({ target, cost: computeCost(target) }))
      .sort((left, right) => left.cost - right.cost)
      .map(({ target }) => target);

  /** Orders targets by preference, with what is known of their loads. */
  const orderTargets = (targets: readonly Target[], service: ServiceSpec): Target[] => {
    if (getPosition().count <= FRESH_LOADS_GATEWAYS) return rankTargets(targets);
    const shuffled = orderRandomly(targets);
    const free = shuffled.filter((target) => hasPlace(target, service));
    const full = shuffled.filter((target) => !hasPlace(target, service));
    const sample = rankTargets(free.slice(0, SAMPLE_SIZE));
    return [...sample, ...free.slice(SAMPLE_SIZE), ...rankTargets(full)];
  };

  return {
    chooseTarget(query) {
      const candidates = listCandidates(query);
      const trusted = candidates.filter(({ id }) => !monitor.isSuspect(id));
      const ordered = orderTargets(trusted.length > 0 ? trusted : candidates, query.service);
      return ordered.find((target) => takeColdPlace(target, query.service));
    },
  };
}
