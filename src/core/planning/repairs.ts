import type { GroupAllocation } from '../allocation/index.ts';
import { isHomeOwned, mayWriteHome } from '../allocation/index.ts';
import { isClaimable } from './claims.ts';
import type { VmTable } from './members.ts';
import { VmCondition } from './members.ts';
import type { DeclaredReplica } from './replicas.ts';
import type { ReplicaCandidate } from './select-replicas.ts';
import { selectReplicas } from './select-replicas.ts';
import type { PlanningInput } from './types.ts';

/** A replica to be formed, or an existing group whose members are to change. */
export interface Repair {
  replica: DeclaredReplica;
  /** The group in the allocation; undefined for a new replica. */
  group: GroupAllocation | undefined;
  /** Whether the home of the replica records this domain at the epoch of the lease. */
  isOwned: boolean;
  /** Usable members of the group in order of their rank. */
  survivors: string[];
}

function buildRepair(
  replica: DeclaredReplica,
  group: GroupAllocation | undefined,
  isOwned: boolean,
  table: VmTable,
): Repair {
  const survivors = (group?.members ?? [])
    .filter((vm) => table.getCondition(vm) === VmCondition.Usable)
    .slice(0, replica.size);
  return { replica, group, isOwned, survivors };
}

/** Returns a repair for each new replica whose home this domain owns or may claim. */
export function listNewReplicas(
  replicas: ReadonlyMap<string, DeclaredReplica>,
  input: PlanningInput,
  table: VmTable,
): Repair[] {
  const { allocation, replicaHomes } = input;
  const { fabricDomain, lease } = allocation;
  const held = new Set(allocation.groups.map(({ name }) => name));
  return [...replicas.values()].flatMap((replica) => {
    if (held.has(replica.name)) return [];
    const home = replicaHomes.get(replica.name);
    const isOwned = isHomeOwned(home, fabricDomain, lease.epoch);
    // A home that an earlier lease holder wrote for this domain is claimed again at this epoch.
    const isInherited = home !== undefined && mayWriteHome(home, fabricDomain, lease.epoch);
    if (!isOwned && !isInherited && !isClaimable(replica, input)) return [];
    return [buildRepair(replica, undefined, isOwned, table)];
  });
}

/** Returns a repair for each of the groups that is still declared. */
export function listRepairs(
  groups: readonly GroupAllocation[],
  replicas: ReadonlyMap<string, DeclaredReplica>,
  table: VmTable,
): Repair[] {
  return groups.flatMap((group) => {
    const replica = replicas.get(group.name);
    return replica === undefined ? [] : [buildRepair(replica, group, true, table)];
  });
}

/** Returns the usable VMs that belong to no group, sorted by name. */
export function listSpares(input: PlanningInput, table: VmTable): string[] {
  return Object.values(input.allocation.vms)
    .filter(({ vm, group }) => group === null && table.getCondition(vm) === VmCondition.Usable)
    .map(({ vm }) => vm)
    .sort();
}

/** Returns the least number of members that must load weights if a repair may use these spares. */
export function countLoads(repair: Repair, spares: readonly string[], table: VmTable): number {
  const { model, modelVersion, size } = repair.replica;
  const hasWeights = (vm: string): boolean => table.hasWeights(vm, model, modelVersion);
  const loaded = repair.survivors.filter(hasWeights).length;
  const missing = size - repair.survivors.length;
  const joining = Math.min(missing, spares.filter(hasWeights).length);
  return size - loaded - joining;
}

/** Selects the repairs that restore the most served weight with the spares and survivors. */
export function selectRepairs(
  repairs: readonly Repair[],
  spares: readonly string[],
  table: VmTable,
): Repair[] {
  const pool = spares.length + repairs.reduce((sum, { survivors }) => sum + survivors.length, 0);
  const candidates = repairs.map((repair): ReplicaCandidate => {
    const { name, size, weight } = repair.replica;
    return { name, size, weight, loads: countLoads(repair, spares, table) };
  });
  const selected = selectReplicas(candidates, pool);
  return repairs.filter(({ replica }) => selected.has(replica.name));
}
