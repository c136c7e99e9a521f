import type { GroupAllocation } from '../allocation/index.ts';
import { GroupState } from '../allocation/index.ts';
import type { VmTable } from './members.ts';
import { VmCondition } from './members.ts';
import type { DeclaredReplica } from './replicas.ts';
import type { PlanningInput } from './types.ts';

/** Condition of a group, which determines what a plan does with it. */
export enum GroupCondition {
  /** Complete; nothing has to change. */
  Whole = 'whole',
  /** A member has not been probed yet in this lease term. */
  Unknown = 'unknown',
  /** A member is lost. */
  Damaged = 'damaged',
  /** A member is leaving; the group is drained before the member is replaced. */
  Evacuating = 'evacuating',
  /** Another model, version or size is declared, and this replica is the next to be updated. */
  Outdated = 'outdated',
  /** The configuration no longer declares the replica for this domain. */
  Unwanted = 'unwanted',
  /** No longer declared, and a member is lost, so that no requests are left to drain. */
  Abandoned = 'abandoned',
}

/** Returns whether a group has the declared model, version and size. */
export function isCurrent(group: GroupAllocation, replica: DeclaredReplica): boolean {
  return (
    group.model === replica.model &&
    group.modelVersion === replica.modelVersion &&
    group.members.length === replica.size
  );
}

/**
 * Replicas are updated in ascending order of their number, one at a time across all domains: a
 * replica waits until all existing replicas with a lower number serve the declared version.
 */
function isTurnToUpdate(replica: DeclaredReplica, input: PlanningInput): boolean {
  if (input.peerGroups === undefined) return false;
  const earlier = [...input.allocation.groups, ...input.peerGroups].filter((group) => {
    const number = Number(group.name.slice(replica.servingGroup.length + 1));
    return group.servingGroup === replica.servingGroup && number < replica.number;
  });
  return earlier.every((group) => group.state === GroupState.Serving && isCurrent(group, replica));
}

/** Determines the condition of a group; `replica` is undefined when it is no longer declared. */
export function findGroupCondition(
  group: GroupAllocation,
  replica: DeclaredReplica | undefined,
  table: VmTable,
  input: PlanningInput,
): GroupCondition {
  const conditions = new Set(group.members.map((vm) => table.getCondition(vm)));
  if (replica === undefined) {
    const isLost = conditions.has(VmCondition.Lost);
    return isLost ? GroupCondition.Abandoned : GroupCondition.Unwanted;
  }
  if (conditions.has(VmCondition.Unknown)) return GroupCondition.Unknown;
  if (conditions.has(VmCondition.Lost)) return GroupCondition.Damaged;
  if (conditions.has(VmCondition.Leaving)) return GroupCondition.Evacuating;
  const isOutdated = !isCurrent(group, replica) && isTurnToUpdate(replica, input);
  return isOutdated ? GroupCondition.Outdated : GroupCondition.Whole;
}

/** Returns whether a draining group has finished its requests or reached the drain timeout. */
export function isDrained(group: GroupAllocation, input: PlanningInput): boolean {
  const sinceMs = input.drainingSinceMs.get(group.name);
  if (group.state !== GroupState.Draining || sinceMs === undefined) return false;
  const { drainQuietMs, drainTimeoutMs } = input.limits;
  if (input.nowMs - sinceMs >= drainTimeoutMs) return true;
  const view = input.views.get(group.members[0] ?? '');
  if (view?.status === undefined || view.queriedMs < sinceMs + drainQuietMs) return false;
  const { load } = view.status;
  return load.running + load.queued === 0;
}

/** Returns whether any group has another model, version or size than declared. */
export function hasOutdatedGroup(
  groups: readonly GroupAllocation[],
  replicas: ReadonlyMap<string, DeclaredReplica>,
): boolean {
  return groups.some((group) => {
    const replica = replicas.get(group.name);
    return replica !== undefined && !isCurrent(group, replica);
  });
}
