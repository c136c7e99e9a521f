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
  countGateways(): number;
  /** Returns a number from 0 to 1, for ties. */
  random(): number;
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
const MS_PER_SECOND = 1_000;

interface ColdCount {
  second: number;
  sent: number;
}

/** Creates the chooser: the least loaded target that is whole, in force and not suspect. */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const { timers, fleet, monitor, isZoneOut, countGateways, random } = options;
  const coldCounts = new Map<string, ColdCount>();

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

  /** Takes a place among the requests that a cold target gets in this second. */
  const takeColdPlace = (target: Target, service: ServiceSpec): boolean => {
    if (service.coldRequestsPerSecond <= 0 || !isCold(target)) return true;
    const second = Math.floor(timers.getMonotonicMs() / MS_PER_SECOND);
    const known = coldCounts.get(target.id);
    const count = known?.second === second ? known : { second, sent: 0 };
    coldCounts.set(target.id, count);
    const share = Math.max(1, Math.floor(service.coldRequestsPerSecond / countGateways()));
    if (count.sent >= share) return false;
    count.sent++;
    return true;
  };

  const computeCost = (target: Target): number => {
    const busy = monitor.countInFlight(target.id) + 1;
    return busy * (1 + FAILURE_FACTOR * monitor.getFailureShare(target.id)) + random() / 2;
  };

  return {
    chooseTarget(query) {
      const candidates = listCandidates(query);
      const trusted = candidates.filter(({ id }) => !monitor.isSuspect(id));
      const ranked = (trusted.length > 0 ? trusted : candidates)
        .map((target) => ({ target, cost: computeCost(target) }))
        .sort((left, right) => left.cost - right.cost);
      return ranked.find(({ target }) => takeColdPlace(target, query.service))?.target;
    },
  };
}
