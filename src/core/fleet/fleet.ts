import type { EngineGroup, Target } from './types.ts';
import { buildGroups } from './groups.ts';

/** In-memory copy of the target entries in the store, and the groups that they form. */
export interface Fleet {
  /** Replaces all targets with the result of a listing. */
  resetTargets(targets: readonly Target[]): void;
  /** Adds a target or replaces the one with the same id. */
  setTarget(target: Target): void;
  removeTarget(id: string): void;
  findTarget(id: string): Target | undefined;
  /** Returns the targets of a service. */
  listTargets(service: string): readonly Target[];
  /** Returns the targets of all services. */
  listAllTargets(): Iterable<Target>;
  /** Returns the groups that the entries of a service's targets name, in all states. */
  listServiceGroups(service: string): readonly EngineGroup[];
}

/** Creates an empty fleet. */
export function createFleet(): Fleet {
  const targets = new Map<string, Target>();
  /** Incremented with each change; the groups are rebuilt when it has changed. */
  let revision = 0;
  let groupsRevision = -1;
  let groups: EngineGroup[] = [];

  const getGroups = (): EngineGroup[] => {
    if (groupsRevision !== revision) {
      groups = buildGroups(targets.values());
      groupsRevision = revision;
    }
    return groups;
  };

  return {
    resetTargets(list) {
      targets.clear();
      list.forEach((target) => targets.set(target.id, target));
      revision++;
    },
    setTarget(target) {
      targets.set(target.id, target);
      revision++;
    },
    removeTarget(id) {
      if (targets.delete(id)) revision++;
    },
    findTarget: (id) => targets.get(id),
    listTargets: (service) => [...targets.values()].filter((target) => target.service === service),
    listAllTargets: () => targets.values(),
    listServiceGroups: (service) => getGroups().filter((group) => group.service === service),
  };
}
