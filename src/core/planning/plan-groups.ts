import type { GroupAllocation } from '../allocation/index.ts';
import { mayWriteHome } from '../allocation/index.ts';
import { findGroupCondition, GroupCondition } from './conditions.ts';
import { createMemberTable } from './members.ts';
import { planOrders } from './plan-orders.ts';
import { planRepairs } from './plan-repairs.ts';
import { isRepairable, planGroupState } from './plan-states.ts';
import { planVms } from './plan-vms.ts';
import { listNewReplicas, listRepairs } from './repairs.ts';
import type { DeclaredReplica } from './replicas.ts';
import { listDeclaredReplicas } from './replicas.ts';
import type { PlanAction, PlanningWorld } from './types.ts';
import { PlanActionKind } from './types.ts';

interface JudgedGroup {
  group: GroupAllocation;
  condition: GroupCondition;
}

/** Plans to delete the homes of replicas that the domain neither holds nor is about to form. */
function planReplicaReleases(world: PlanningWorld, kept: ReadonlySet<string>): PlanAction[] {
  const { fabricDomain, groups, lease } = world.allocation;
  const held = new Set(groups.map(({ name }) => name));
  return [...world.replicaHomes].flatMap(([name, home]): PlanAction[] => {
    const isOurs = mayWriteHome(home, fabricDomain, lease.epoch) && !held.has(name);
    if (!isOurs || kept.has(name)) return [];
    return [{ kind: PlanActionKind.ReleaseReplica, name, version: home.version }];
  });
}

function judgeGroups(
  world: PlanningWorld,
  replicas: ReadonlyMap<string, DeclaredReplica>,
  table: ReturnType<typeof createMemberTable>,
): JudgedGroup[] {
  return world.allocation.groups.map((group) => ({
    group,
    condition: findGroupCondition(group, replicas.get(group.name), table, world),
  }));
}

/** Returns the next actions of the lease holder of one fabric domain. */
export function planGroups(world: PlanningWorld): PlanAction[] {
  const table = createMemberTable(world);
  const replicas = listDeclaredReplicas(world.configuration, world.allocation.fabricDomain);
  const judged = judgeGroups(world, replicas, table);
  const changing = judged.filter(({ group, condition }) => isRepairable(group, condition, world));
  const staying = judged.filter((entry) => !changing.includes(entry));
  const repairs = [
    ...listRepairs(
      changing.map(({ group }) => group),
      replicas,
      table,
    ),
    ...listNewReplicas(replicas, world, table),
  ];
  const repairPlan = planRepairs(
    repairs,
    staying.map(({ group }) => group),
    world,
    table,
  );
  const changed = new Set(changing.map(({ group }) => group.name));
  return [
    ...planReplicaReleases(world, repairPlan.kept),
    ...planVms(world, table),
    ...staying.flatMap(({ group, condition }) => planGroupState(group, condition, world)),
    ...repairPlan.actions,
    ...planOrders(world, replicas, table, changed),
  ];
}
