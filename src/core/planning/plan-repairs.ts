import type { GroupAllocation } from '../allocation/index.ts';
import { AllocationEventKind, GroupState } from '../allocation/index.ts';
import type { Assignment } from './assign-members.ts';
import { assignMembers } from './assign-members.ts';
import type { VmTable } from './members.ts';
import { VmCondition } from './members.ts';
import { buildRemoval, buildStateChange } from './plan-states.ts';
import type { Repair } from './repairs.ts';
import { listSpares, selectRepairs } from './repairs.ts';
import type { PlanAction, PlanningInput } from './types.ts';
import { PlanActionKind } from './types.ts';

/** Returns whether every VM of the domain has answered a query or counts as lost. */
function areAllVmsProbed(input: PlanningInput, table: VmTable): boolean {
  return Object.keys(input.allocation.vms).every(
    (vm) => table.getCondition(vm) !== VmCondition.Unknown,
  );
}

/** Returns the number of members of forming groups that have not loaded their weights yet. */
function countLoadsInFlight(groups: readonly GroupAllocation[], table: VmTable): number {
  return groups
    .filter(({ state }) => state === GroupState.Forming)
    .flatMap(({ members, model, modelVersion }) =>
      members.filter((vm) => !table.hasWeights(vm, model, modelVersion)),
    ).length;
}

function buildAssignmentAction(assignment: Assignment, input: PlanningInput): PlanAction {
  const { repair, members } = assignment;
  const { replica, group, isOwned } = repair;
  const { name, servingGroup, model, modelVersion } = replica;
  const version = input.replicaHomes.get(name)?.version ?? 0;
  if (!isOwned) return { kind: PlanActionKind.ClaimReplica, name, version };
  if (group !== undefined) {
    const kind = AllocationEventKind.GroupReformed;
    const event = { kind, group: name, model, modelVersion, members } as const;
    return { kind: PlanActionKind.ChangeAllocation, event };
  }
  // Object versions increase across the whole store, so a replica that moves to another domain gets
  // a higher generation.
  const formed = { name, servingGroup, model, modelVersion, generation: version, members };
  const event = { kind: AllocationEventKind.GroupFormed, group: formed } as const;
  return { kind: PlanActionKind.ChangeAllocation, event };
}

/** Plans that a repair that has to wait does not serve, because a member is missing. */
function planWaitingGroup(repair: Repair): PlanAction[] {
  const { group } = repair;
  if (group === undefined || group.state === GroupState.Forming) return [];
  return [buildStateChange(group, GroupState.Forming)];
}

/** Starts assignments up to the limit of concurrent weight loads; the others wait. */
function planStarts(
  assignments: readonly Assignment[],
  loadsInFlight: number,
  input: PlanningInput,
): PlanAction[] {
  let loads = loadsInFlight;
  return assignments.flatMap((assignment) => {
    const isWithinRate =
      assignment.loads === 0 ||
      loads === 0 ||
      loads + assignment.loads <= input.limits.maxLoadsInFlight;
    if (!isWithinRate) return planWaitingGroup(assignment.repair);
    loads += assignment.loads;
    return [buildAssignmentAction(assignment, input)];
  });
}

/** Planned actions, and the names of replicas that the domain keeps or is about to form. */
export interface RepairPlan {
  actions: PlanAction[];
  kept: ReadonlySet<string>;
}

/**
 * Plans which VMs are assigned to which replicas. Groups that cannot be completed are removed:
 * their members become spares that keep their weights, and other domains may claim the replicas.
 * Such groups wait while a VM of the domain has not been probed, because it may complete them.
 */
export function planRepairs(
  repairs: readonly Repair[],
  unchangedGroups: readonly GroupAllocation[],
  input: PlanningInput,
  table: VmTable,
): RepairPlan {
  const spares = listSpares(input, table);
  const selected = selectRepairs(repairs, spares, table);
  const rest = repairs.filter((repair) => !selected.includes(repair));
  const dropped = areAllVmsProbed(input, table) ? rest : [];
  const freeVms = [...spares, ...dropped.flatMap(({ survivors }) => survivors)];
  const assignments = assignMembers(selected, freeVms, table, input.memberBytes);
  const started = new Set(assignments.map(({ repair }) => repair));
  const waiting = repairs.filter((repair) => !dropped.includes(repair) && !started.has(repair));
  const removals = dropped.flatMap(({ group }) =>
    group === undefined ? [] : [buildRemoval(group.name)],
  );
  const starts = planStarts(assignments, countLoadsInFlight(unchangedGroups, table), input);
  const kept = repairs.filter((repair) => !dropped.includes(repair));
  return {
    actions: [...removals, ...waiting.flatMap(planWaitingGroup), ...starts],
    kept: new Set(kept.map(({ replica }) => replica.name)),
  };
}
