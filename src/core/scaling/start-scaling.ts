import type { DutyHolder, ScaleOrder } from '../duties/index.ts';
import { DutyCallResult } from '../duties/index.ts';
import type { Fleet, Target } from '../fleet/index.ts';
import type { Logger } from '../logs/index.ts';
import type { EngineSpec, ServiceSpec, TargetScaling } from '../serving/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { ModelDemand } from '../work/index.ts';
import { computeBusyGroups } from '../work/index.ts';
import { createScalingDecisions } from './scaling-decisions.ts';
import type { ScalingDecisions } from './scaling-decisions.ts';
import type { ScaleDecision, ScalingZone } from './types.ts';
import { countUsableEngines } from './types.ts';

/** Dependencies and settings of the ordering of targets. */
export interface ScalingOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>;
  logger: Logger;
  fleet: Pick<Fleet, 'listTargets'>;
  /** Returns all services of the active configuration; those without bounds are not scaled. */
  listServices(): readonly ServiceSpec[];
  getDemand(service: string, model: string): ModelDemand;
  isZoneEvacuated(availabilityZone: string): boolean;
  /** Whether the local copy of the target entries is recent enough to act on. */
  isTargetCopyFresh(): boolean;
  /** Returns the holder of the duties if it is this process and it may make calls now. */
  getHolder(): DutyHolder | undefined;
  orderTargetCount(holder: DutyHolder, order: ScaleOrder): Promise<DutyCallResult>;
  /** Returns the number of zones that may be lost at once. */
  getToleratedZones(): number;
  /** Counts an order and its result. */
  countOrder(order: ScaleOrder, result: DutyCallResult): void;
}

/** Interval between decisions. */
const DECISION_PERIOD_MS = 500;

/** Time after which a zone without targets is no lost one, but one that is not used any more. */
const FORGET_ZONE_MS = 600_000;

/** Builds what a decision needs to know of the zones in which a service has targets. */
function listZones(
  targets: readonly Target[],
  isZoneEvacuated: ScalingOptions['isZoneEvacuated'],
): ScalingZone[] {
  const names = [...new Set(targets.map(({ availabilityZone }) => availabilityZone))].sort();
  return names.map((name) => {
    const inZone = targets.filter(({ availabilityZone }) => availabilityZone === name);
    const domains = new Map<string, number>();
    for (const { fabricDomain, isLeaving } of inZone) {
      domains.set(fabricDomain, (domains.get(fabricDomain) ?? 0) + (isLeaving ? 0 : 1));
    }
    return {
      name,
      isEvacuated: isZoneEvacuated(name),
      domainSizes: [...domains.values()],
      leavingEngines: inZone.filter(({ isLeaving }) => isLeaving).length,
    };
  });
}

function formatNeeds(needs: ReadonlyMap<string, number>): string {
  return [...needs].map(([model, need]) => `${model}=${need.toFixed(2)}`).join(' ');
}

/** Orders the number of targets of each service and zone while this process holds the duties. */
export function startScaling(options: ScalingOptions): { stop(): void } {
  const { timers, logger, fleet } = options;
  const decisionsByService = new Map<string, ScalingDecisions>();
  /** When targets were last seen in a zone, by service: a zone without targets is a lost one. */
  const seenZones = new Map<string, Map<string, number>>();
  const pendingZones = new Set<string>();
  const loggedProblems = new Map<string, string>();
  let token: number | undefined;

  const listKnownZones = (service: string): ScalingZone[] => {
    const zones = listZones(fleet.listTargets(service), options.isZoneEvacuated);
    const seen = seenZones.get(service) ?? new Map<string, number>();
    seenZones.set(service, seen);
    const now = timers.getMonotonicMs();
    zones.forEach(({ name }) => seen.set(name, now));
    for (const [name, seenMs] of seen) if (now - seenMs > FORGET_ZONE_MS) seen.delete(name);
    const missing = [...seen.keys()].filter((name) => !zones.some((zone) => zone.name === name));
    const lost = missing.map((name) => ({
      name,
      isEvacuated: options.isZoneEvacuated(name),
      domainSizes: [],
      leavingEngines: 0,
    }));
    return [...zones, ...lost];
  };

  const sendOrder = async (
    holder: DutyHolder,
    service: string,
    decision: ScaleDecision,
    decisions: ScalingDecisions,
  ): Promise<DutyCallResult> => {
    const { zone, targetCount } = decision;
    const order: ScaleOrder = { service, availabilityZone: zone, targetCount };
    const result = await options.orderTargetCount(holder, order);
    const now = timers.getMonotonicMs();
    if (result === DutyCallResult.Accepted) decisions.recordAccepted(decision, now);
    else if (result === DutyCallResult.Rejected) decisions.recordRejected(decision, now);
    else decisions.recordFailed(decision, now);
    options.countOrder(order, result);
    return result;
  };

  const startOrder = (
    holder: DutyHolder,
    service: string,
    decision: ScaleDecision,
    decisions: ScalingDecisions,
    context: Record<string, string | number>,
  ): void => {
    const key = `${service}/${decision.zone}`;
    if (pendingZones.has(key)) return;
    pendingZones.add(key);
    sendOrder(holder, service, decision, decisions)
      .then((result) =>
        logger.info('ordered the number of targets', { service, ...decision, ...context, result }),
      )
      .catch((error: unknown) => {
        decisions.recordFailed(decision, timers.getMonotonicMs());
        logger.error('failed to order targets', { service, problem: String(error) });
      })
      .finally(() => pendingZones.delete(key));
  };

  const decideService = (
    holder: DutyHolder,
    service: string,
    spec: EngineSpec,
    scaling: TargetScaling,
  ): void => {
    const zones = listKnownZones(service);
    const decisions = decisionsByService.get(service) ?? createScalingDecisions();
    decisionsByService.set(service, decisions);
    const busyGroups = new Map(
      spec.models.map((model) => [
        model.name,
        computeBusyGroups(spec, model, options.getDemand(service, model.name)),
      ]),
    );
    const wanted = decisions.decide({
      nowMs: timers.getMonotonicMs(),
      spec,
      scaling,
      zones,
      busyGroups,
      toleratedZones: options.getToleratedZones(),
    });
    const context = {
      busyGroups: formatNeeds(busyGroups),
      usable: zones.map((zone) => `${zone.name}=${countUsableEngines(zone)}`).join(' '),
    };
    wanted.forEach((decision) => startOrder(holder, service, decision, decisions, context));
  };

  const logProblem = (service: string, problem: string): void => {
    if (loggedProblems.get(service) === problem) return;
    loggedProblems.set(service, problem);
    logger.warn('the bounds of a service are not usable; its targets are not ordered', {
      service,
      problem,
    });
  };

  const decideAll = (): void => {
    const holder = options.getHolder();
    if (holder === undefined) return;
    if (holder.token !== token) {
      // What another holder ordered in the meantime is not known.
      decisionsByService.clear();
      token = holder.token;
    }
    if (!options.isTargetCopyFresh()) return;
    for (const { name, engine, scaling, scalingProblem } of options.listServices()) {
      if (scalingProblem !== undefined) logProblem(name, scalingProblem);
      if (engine !== undefined && scaling !== undefined) {
        decideService(holder, name, engine, scaling);
      }
    }
  };

  return { stop: timers.subscribe(DECISION_PERIOD_MS, decideAll) };
}
