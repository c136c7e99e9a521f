import type { EngineGroup, Target } from './types.ts';
import { buildGroups } from './groups.ts';
import { formatTargetKey } from './target-key.ts';

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
  /**
   * Marks one process start of a target as shutting down, as it says itself, whatever its entry says;
   * returns whether that is news.
   */
  markLeaving(targetKey: string): boolean;
  /** Lists the marked process starts whose entry does not say that they are shutting down. */
  listMarkedLeaving(): string[];
  /** Returns the groups that the entries of a service's targets name, in all states. */
  listServiceGroups(service: string): readonly EngineGroup[];
}

/** Process starts that are remembered as shutting down; the oldest are forgotten first. */
const MAX_MARKED_LEAVING = 4_096;

/** Creates an empty fleet. */
export function createFleet(): Fleet {
  const targets = new Map<string, Target>();
  /** Process starts of targets that say that they are shutting down. */
  const markedKeys = new Set<string>();
  /** Ids of the targets whose entry does not say so. */
  const markedIds = new Set<string>();
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

  const addMarkedKey = (targetKey: string): void => {
    markedKeys.add(targetKey);
    const [oldest] = markedKeys;
    if (markedKeys.size > MAX_MARKED_LEAVING && oldest !== undefined) markedKeys.delete(oldest);
  };

  /** Fills in the model that a process start served last, which its entry names only within a group. */
  const withLastModel = (target: Target, known: Target | undefined): Target => {
    const isSameStart = target.startedWallMs > 0 && known?.startedWallMs === target.startedWallMs;
    if (target.currentModel !== undefined || !isSameStart) return target;
    return { ...target, currentModel: known.currentModel };
  };

  const addTarget = (entry: Target, known: Target | undefined): void => {
    const target = withLastModel(entry, known);
    // A process start that leaves never returns, although an older entry may come back that does not
    // say so. Entries without a start time do not tell process starts apart.
    if (target.isLeaving && target.startedWallMs > 0) addMarkedKey(formatTargetKey(target));
    const isMarked = !target.isLeaving && markedKeys.has(formatTargetKey(target));
    targets.set(target.id, isMarked ? { ...target, isLeaving: true } : target);
    if (isMarked) markedIds.add(target.id);
    else markedIds.delete(target.id);
    revision++;
  };

  const setTarget = (target: Target): void => addTarget(target, targets.get(target.id));

  return {
    resetTargets(list) {
      const known = new Map(targets);
      targets.clear();
      markedIds.clear();
      list.forEach((target) => addTarget(target, known.get(target.id)));
      revision++;
    },
    setTarget,
    removeTarget(id) {
      markedIds.delete(id);
      if (targets.delete(id)) revision++;
    },
    markLeaving(targetKey) {
      if (markedKeys.has(targetKey)) return false;
      addMarkedKey(targetKey);
      const target = [...targets.values()].find((one) => formatTargetKey(one) === targetKey);
      if (target !== undefined) setTarget(target);
      return true;
    },
    listMarkedLeaving: () =>
      [...markedIds].flatMap((id) => {
        const target = targets.get(id);
        return target === undefined ? [] : formatTargetKey(target);
      }),
    findTarget: (id) => targets.get(id),
    listTargets: (service) => [...targets.values()].filter((target) => target.service === service),
    listAllTargets: () => targets.values(),
    listServiceGroups: (service) => getGroups().filter((group) => group.service === service),
  };
}
