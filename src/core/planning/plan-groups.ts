import type { GroupAllocation } from '../allocation/index.ts';
import { mayWriteHome } from '../allocation/index.ts';
import { findGroupCondition, GroupCondition } from './conditions.ts';
import { createVmTable } from './members.ts';
import { planOrders } from './plan-orders.ts';
import { planRepairs } from './plan-repairs.ts';
import { isRepairable, planGroupState } from './plan-states.ts';
import { planVms } from './plan-vms.ts';
import { listNewReplicas, listRepairs } from './repairs.ts';
import type { DeclaredReplica } from './replicas.ts';
import { listDeclaredReplicas } from './replicas.ts';
import type { PlanAction, PlanningInput } from './types.ts';
import { PlanActionKind } from './types.ts';

interface AssessedGroup {
  group: GroupAllocation;
  condition: GroupCondition;
}

/** Plans to delete the homes of replicas that the domain neither holds nor is about to form. */
function planReplicaReleases(input: PlanningInput, kept: ReadonlySet<string>): PlanAction[] {
  const { fabricDomain, groups, lease } = input.allocation;
  const held = new Set(groups.map(({ name }) => name));
  return [...input.replicaHomes].flatMap(([name, home]): PlanAction[] => {
    const isUnusedHome = mayWriteHome(home, fabricDomain, lease.epoch) && !held.has(name);
    if (!isUnusedHome || kept.has(name)) return [];
    return [{ kind: PlanActionKind.ReleaseReplica, name, version: home.version }];
  });
}

function assessGroups(
  input: PlanningInput,
  replicas: ReadonlyMap<string, DeclaredReplica>,
  table: ReturnType<typeof createVmTable>,
): AssessedGroup[] {
  return input.allocation.groups.map((group) => ({
    group,
    condition: findGroupCondition(group, replicas.get(group.name), table, input),
  }));
}

/** Returns the next actions of the lease holder of one fabric domain. */
export function planGroups(input: PlanningInput): PlanAction[] {
  const table = createVmTable(input);
  const replicas = listDeclaredReplicas(input.configuration, input.allocation.fabricDomain);
  const assessedGroups = assessGroups(input, replicas, table);
  const changing = assessedGroups.filter(({ group, condition }) =>
    isRepairable(group, condition, input),
  );
  const staying = assessedGroups.filter((entry) => !changing.includes(entry));
  const repairs = [
    ...listRepairs(
      changing.map(({ group }) => group),
      replicas,
      table,
    ),
    ...listNewReplicas(replicas, input, table),
  ];
  const repairPlan = planRepairs(
    repairs,
    staying.map(({ group }) => group),
    input,
    table,
  );
  const changed = new Set(changing.map(({ group }) => group.name));
  return [
    ...planReplicaReleases(input, repairPlan.kept),
    ...planVms(input, table),
    ...staying.flatMap(({ group, condition }) => planGroupState(group, condition, input)),
    ...repairPlan.actions,
    ...planOrders(input, replicas, table, changed),
  ];
}
