import type { EngineSpec, TargetScaling } from '../serving/index.ts';
import { createNeedHistory } from './need-history.ts';
import type { Needs } from './need-history.ts';
import { computeSpares, isZoneLost, planTargetCounts } from './plan-target-counts.ts';
import type { TargetCounts } from './plan-target-counts.ts';
import type { ScaleDecision, ScalingZone } from './types.ts';
import { countUsableEngines, ScaleReason } from './types.ts';

/** What is known at one time about a service whose targets are ordered. */
export interface ScalingObservation {
  nowMs: number;
  spec: EngineSpec;
  scaling: TargetScaling;
  zones: readonly ScalingZone[];
  /** Groups that the present work keeps busy all the time, by model. */
  busyGroups: Needs;
  toleratedZones: number;
}

/** Decides how many targets of one service to order; its state is that of one holder. */
export interface ScalingDecisions {
  /** Records an observation and returns the orders to send now. */
  decide(observation: ScalingObservation): ScaleDecision[];
  /** Records an order that was accepted. */
  recordAccepted(decision: ScaleDecision, nowMs: number): void;
  /** Records an order that was not accepted; the next one waits for a moment. */
  recordFailed(decision: ScaleDecision, nowMs: number): void;
  /** Records an order that would be rejected again; it waits until the decision differs. */
  recordRejected(decision: ScaleDecision, nowMs: number): void;
}

/** Room above the present work for its usual swings. */
const HEADROOM = 1.1;
/** Time for which more must be needed before more is ordered: no engine comes in time for a burst. */
const INCREASE_HOLD_MS = 3_000;
/** Length of a usual wave of the demand. */
const WAVE_MS = 10_000;
/** Minimum time between two orders for one zone. */
const ORDER_PERIOD_MS = 2_000;
/** Time after a reduction in which the zone forms its groups anew. */
const SETTLE_MS = 4_000;
/** Time beyond the boot for targets to be listed, or to leave. */
const REACH_MARGIN_MS = 4_000;
/** Time for which a zone must have had another number than was ordered. */
const NOT_REACHED_MS = 3_000;

/** What is known of the orders for one zone. */
interface ZoneRecord {
  targetCount: number | undefined;
  sentMs: number;
  /** Time until which the zone may still be about to reach the number, or last had it. */
  reachedMs: number;
  rejectedCount: number | undefined;
}

const NO_RECORD: ZoneRecord = {
  targetCount: undefined,
  sentMs: -Infinity,
  reachedMs: -Infinity,
  rejectedCount: undefined,
};

/** Computes the time that a new engine needs until its group serves. */
function computeReadyMs(spec: EngineSpec, scaling: TargetScaling): number {
  const loads = spec.models.map(({ loadMs, stagedJoinMs }) => loadMs + stagedJoinMs);
  return scaling.bootMs + Math.max(0, ...loads) + spec.openMs;
}

function addHeadroom(needs: Needs): Needs {
  return new Map([...needs].map(([model, need]) => [model, need * HEADROOM]));
}

/** Creates the decisions of a new holder, which has ordered nothing. */
export function createScalingDecisions(): ScalingDecisions {
  const history = createNeedHistory();
  const records = new Map<string, ZoneRecord>();
  let lastReductionMs = -Infinity;
  let bootMs = 0;

  const getRecord = (zone: string): ZoneRecord => records.get(zone) ?? NO_RECORD;
  const updateRecord = (zone: string, change: Partial<ZoneRecord>): void => {
    records.set(zone, { ...getRecord(zone), ...change });
  };
  const getBaseCount = (zone: ScalingZone): number =>
    getRecord(zone.name).targetCount ?? countUsableEngines(zone);

  const maySend = (decision: ScaleDecision, nowMs: number): boolean => {
    const { sentMs, rejectedCount } = getRecord(decision.zone);
    return nowMs - sentMs >= ORDER_PERIOD_MS && rejectedCount !== decision.targetCount;
  };

  /** Plans what the zones in use lack for the work that has arrived for a moment. */
  const planIncreases = (observation: ScalingObservation): ScaleDecision[] => {
    const { nowMs, zones, spec } = observation;
    if (history.getKnownMs(nowMs) < INCREASE_HOLD_MS) return [];
    const neededGroups = history.computeLow(nowMs, INCREASE_HOLD_MS);
    const counts = planTargetCounts({ ...observation, models: spec.models, neededGroups });
    return zones.flatMap((zone) => {
      const planned = counts.get(zone.name);
      const previousCount = getBaseCount(zone);
      if (planned === undefined || previousCount >= planned.leastCount) return [];
      const targetCount = planned.fullCount;
      return [{ zone: zone.name, targetCount, previousCount, reason: ScaleReason.MoreWork }];
    });
  };

  /** Plans to order the number in force again where it has not been reached for long. */
  const planRepetitions = ({ nowMs, spec, zones }: ScalingObservation): ScaleDecision[] =>
    zones.flatMap((zone) => {
      const { targetCount, reachedMs } = getRecord(zone.name);
      if (targetCount === undefined || zone.isEvacuated) return [];
      const usable = countUsableEngines(zone);
      // Targets that somebody else has added are welcome as spares.
      const isReached = usable >= targetCount && usable <= targetCount + computeSpares(spec.models);
      if (isReached) updateRecord(zone.name, { reachedMs: Math.max(reachedMs, nowMs) });
      if (isReached || nowMs - reachedMs < NOT_REACHED_MS) return [];
      const previousCount = targetCount;
      return [{ zone: zone.name, targetCount, previousCount, reason: ScaleReason.NotReached }];
    });

  /** Whether all zones but one have what they should, so that they can carry its work for a while. */
  const areOthersComplete = (
    { zones }: ScalingObservation,
    counts: ReadonlyMap<string, TargetCounts>,
    except: string,
  ): boolean =>
    zones.every((zone) => {
      if (zone.name === except) return true;
      if (isZoneLost(zone)) return false;
      return countUsableEngines(zone) >= (counts.get(zone.name)?.leastCount ?? 0);
    });

  /** Plans the one zone that may be reduced now, that with the most engines too many. */
  const planReduction = (observation: ScalingObservation): ScaleDecision[] => {
    const { nowMs, zones, spec, scaling, toleratedZones } = observation;
    const holdMs = computeReadyMs(spec, scaling) + WAVE_MS;
    if (history.getKnownMs(nowMs) < holdMs) return [];
    if (nowMs - lastReductionMs < SETTLE_MS) return [];
    if (zones.some(({ leavingEngines }) => leavingEngines > 0)) return [];
    const neededGroups = history.computePeak(nowMs, holdMs);
    const counts = planTargetCounts({ ...observation, models: spec.models, neededGroups });
    const candidates = zones.flatMap((zone): ScaleDecision[] => {
      if (isZoneLost(zone) || !areOthersComplete(observation, counts, zone.name)) return [];
      const previousCount = getBaseCount(zone);
      // Without other zones that may take over its work, a zone loses one group at a time. Otherwise a
      // reduction is worth the new groups of the zone only if it is large.
      const isCarried = toleratedZones > 0 && zones.length > 1;
      const sizes = spec.models.map(({ groupSize }) => groupSize);
      const leastReduction = isCarried ? Math.max(...sizes) : Math.min(...sizes);
      const leastCount = isCarried ? 0 : previousCount - leastReduction;
      const targetCount = Math.max(leastCount, counts.get(zone.name)?.fullCount ?? previousCount);
      // A zone that has lost engines forms its groups anew first.
      const surplus = Math.min(previousCount, countUsableEngines(zone)) - targetCount;
      if (surplus < leastReduction) return [];
      const reason = ScaleReason.LessWork;
      const decision = { zone: zone.name, targetCount, previousCount, reason };
      return maySend(decision, nowMs) ? [decision] : [];
    });
    candidates.sort(
      (left, right) =>
        right.previousCount - right.targetCount - (left.previousCount - left.targetCount),
    );
    return candidates.slice(0, 1);
  };

  return {
    decide(observation) {
      const { nowMs } = observation;
      history.addNeeds(nowMs, addHeadroom(observation.busyGroups));
      if (history.getKnownMs(nowMs) === 0) return [];
      bootMs = observation.scaling.bootMs;
      const increases = planIncreases(observation);
      const repetitions = planRepetitions(observation).filter(
        ({ zone }) => !increases.some((one) => one.zone === zone),
      );
      const others = [...increases, ...repetitions];
      const reductions = others.length > 0 ? [] : planReduction(observation);
      return [...others, ...reductions].filter((one) => maySend(one, nowMs));
    },
    recordAccepted({ zone, targetCount, reason }, nowMs) {
      updateRecord(zone, {
        targetCount,
        sentMs: nowMs,
        reachedMs: nowMs + bootMs + REACH_MARGIN_MS,
        rejectedCount: undefined,
      });
      if (reason === ScaleReason.LessWork) lastReductionMs = nowMs;
    },
    recordFailed({ zone, reason }, nowMs) {
      updateRecord(zone, { sentMs: nowMs });
      // It may have been done all the same.
      if (reason === ScaleReason.LessWork) lastReductionMs = nowMs;
    },
    recordRejected({ zone, targetCount }, nowMs) {
      updateRecord(zone, { sentMs: nowMs, rejectedCount: targetCount });
    },
  };
}
