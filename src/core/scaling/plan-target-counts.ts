import type { EngineSpec, ModelSpec, TargetScaling } from '../serving/index.ts';
import type { ScalingZone } from './types.ts';
import { countUsableEngines } from './types.ts';

/** Input of one decision on the number of engines of a service. */
export interface TargetCountInput {
  models: EngineSpec['models'];
  scaling: TargetScaling;
  zones: readonly ScalingZone[];
  /** Groups that are needed to carry the work of a model, headroom included, by model name. */
  neededGroups: ReadonlyMap<string, number>;
  /** Availability zones that may be lost at once without a loss of service. */
  toleratedZones: number;
}

/** Whether a zone carries no work now and is not counted on. */
export function isZoneLost(zone: ScalingZone): boolean {
  return zone.isEvacuated || countUsableEngines(zone) === 0;
}

/** Returns the size of the smallest group: the engines that stand by in each zone. */
export function computeSpares(models: readonly ModelSpec[]): number {
  return Math.min(...models.map(({ groupSize }) => groupSize));
}

/** Numbers of engines that a zone should have. */
export interface TargetCounts {
  /** With fewer, groups are missing. */
  leastCount: number;
  /** With more, engines are in no use. */
  fullCount: number;
}

/** Whether enough groups remain if some parts of evenly spread ones are lost. */
function isLossBearable(
  groups: number,
  needed: number,
  partCount: number,
  lostParts: number,
): boolean {
  if (partCount <= lostParts) return true;
  return groups - lostParts * Math.ceil(groups / partCount) >= needed;
}

/** Zones and fabric domains in use, and how many of them may be lost at once. */
interface Losses {
  zoneCount: number;
  zones: number;
  domainCount: number;
  domains: number;
  /** Groups of each model that may be in repair besides. */
  repairs: number;
}

/**
 * Groups of each model that may be about to be formed anew. After the loss of a member, a group waits
 * for the load of its weights, unless another engine of its domain has them.
 */
const GROUPS_IN_REPAIR = 1;

/** Computes how many groups a model has so that the needed ones remain after a loss. */
function computeGroupCount(needed: number, losses: Losses): number {
  const { zoneCount, zones, domainCount, domains } = losses;
  const wanted = Math.max(1, Math.ceil(needed));
  let groups = wanted;
  while (
    !isLossBearable(groups, wanted, zoneCount, zones) ||
    !isLossBearable(groups, wanted, domainCount, domains)
  ) {
    groups++;
  }
  return groups + losses.repairs;
}

/** Whether groups of the given sizes fit into domains, of which none is shared by a group. */
function canFit(groupSizes: readonly number[], domainSizes: readonly number[]): boolean {
  const rooms = [...domainSizes];
  return groupSizes.every((size) => {
    const index = rooms.findIndex((room) => room >= size);
    if (index < 0) return false;
    rooms[index]! -= size;
    return true;
  });
}

function splitEvenly(total: number, parts: number): number[] {
  return Array.from({ length: parts }, (_, index) => Math.floor((total + index) / parts)).reverse();
}

/**
 * Computes the engines that groups need in a zone whose engines are spread evenly over its fabric
 * domains. The sizes are sorted, the largest first.
 */
function computeEngineCount(groupSizes: readonly number[], domainCount: number): number {
  let count = groupSizes.reduce((sum, size) => sum + size, 0);
  while (!canFit(groupSizes, splitEvenly(count, domainCount))) count++;
  return count;
}

/** Assigns the groups of all models to zones, so that each model is spread evenly. */
function assignGroups(
  input: TargetCountInput,
  zones: readonly ScalingZone[],
  losses: Losses,
): Map<string, number[]> {
  const sizesByZone = new Map(zones.map(({ name }) => [name, [] as number[]]));
  const models = [...input.models].sort((left, right) => right.groupSize - left.groupSize);
  for (const { name, groupSize } of models) {
    const needed = input.neededGroups.get(name) ?? 0;
    const groups = computeGroupCount(needed, losses);
    const groupsOfModel = new Map<string, number>();
    for (let index = 0; index < groups; index++) {
      const ranked = zones
        .map(({ name: zone }) => ({
          zone,
          sizes: sizesByZone.get(zone)!,
          own: groupsOfModel.get(zone) ?? 0,
        }))
        .map((one) => ({ ...one, engines: one.sizes.reduce((sum, size) => sum + size, 0) }))
        .sort((left, right) => left.own - right.own || left.engines - right.engines);
      const chosen = ranked[0]!;
      chosen.sizes.push(groupSize);
      groupsOfModel.set(chosen.zone, chosen.own + 1);
    }
  }
  return sizesByZone;
}

/**
 * Plans how many engines each zone that is in use should have: whole groups for the work of all models
 * that remain after a loss, and spares, within the bounds of the service.
 */
export function planTargetCounts(input: TargetCountInput): Map<string, TargetCounts> {
  const zones = input.zones.filter((zone) => !isZoneLost(zone));
  if (zones.length === 0 || input.models.length === 0) return new Map();
  const alreadyLost = input.zones.length - zones.length;
  const losses: Losses = {
    zoneCount: zones.length,
    zones: Math.max(0, input.toleratedZones - alreadyLost),
    domainCount: zones.reduce((sum, { domainSizes }) => sum + domainSizes.length, 0),
    // While a zone is lost, no further loss is prepared for: new engines would serve too late.
    domains: alreadyLost > 0 ? 0 : 1,
    repairs: alreadyLost > 0 ? 0 : GROUPS_IN_REPAIR,
  };
  const { minTargets, maxTargets } = input.scaling;
  const bound = (count: number): number => Math.min(maxTargets, Math.max(minTargets, count));
  const spares = computeSpares(input.models);
  const assigned = assignGroups(input, zones, losses);
  return new Map(
    zones.map(({ name, domainSizes }) => {
      const count = computeEngineCount(assigned.get(name)!, domainSizes.length);
      return [name, { leastCount: bound(count), fullCount: bound(count + spares) }];
    }),
  );
}
