import type { Fleet } from '../fleet/index.ts';

/** Number of targets of a service in one state. */
export interface TargetCount {
  service: string;
  state: string;
  count: number;
}

/** Number of groups of a model whose heads are in one state. */
export interface GroupCount {
  model: string;
  state: string;
  count: number;
}

/** Counts the items with the same key; returns the first item of each key with the count. */
function countBy<Item>(
  items: Iterable<Item>,
  formatKey: (item: Item) => string,
): { item: Item; count: number }[] {
  const counts = new Map<string, { item: Item; count: number }>();
  for (const item of items) {
    const key = formatKey(item);
    const known = counts.get(key);
    if (known === undefined) counts.set(key, { item, count: 1 });
    else known.count++;
  }
  return [...counts.values()];
}

/** Counts the known targets by service and state. */
export function countTargets(
  fleet: Fleet,
  isZoneEvacuated: (availabilityZone: string) => boolean,
): TargetCount[] {
  const targets = [...fleet.listAllTargets()].map((target) => {
    const isUsable = !target.isLeaving && !isZoneEvacuated(target.availabilityZone);
    return { service: target.service, state: isUsable ? 'usable' : 'leaving' };
  });
  return countBy(targets, ({ service, state }) => `${service} ${state}`).map(({ item, count }) => ({
    ...item,
    count,
  }));
}

/** Counts the known groups of the services by model and the state of the head. */
export function countGroups(fleet: Fleet, services: readonly string[]): GroupCount[] {
  const groups = services
    .flatMap((service) => fleet.listServiceGroups(service))
    .map(({ model, headEngine }) => ({
      model: model ?? '',
      state: headEngine?.group?.state ?? 'headless',
    }));
  return countBy(groups, ({ model, state }) => `${model} ${state}`).map(({ item, count }) => ({
    ...item,
    count,
  }));
}
