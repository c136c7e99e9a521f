import type { VmTable } from './members.ts';
import type { Repair } from './repairs.ts';
import { countLoads } from './repairs.ts';

/** A repair and the VMs that are assigned to it. */
export interface Assignment {
  repair: Repair;
  /** VM names in order of their rank. */
  members: string[];
  /** Number of members that must load weights. */
  loads: number;
}

/** Returns the served weight that a repair restores per byte loaded; infinite without a load. */
function computeWeightPerByte(
  repair: Repair,
  loads: number,
  memberBytes: ReadonlyMap<string, number>,
): number {
  const bytes = loads * (memberBytes.get(repair.replica.model) ?? 1);
  return bytes === 0 ? Number.POSITIVE_INFINITY : repair.replica.weight / bytes;
}

/** Keeps survivors at their ranks, so that a leader that survived stays the leader. */
function assignRanks(repair: Repair, joining: readonly string[]): string[] {
  const { size } = repair.replica;
  const survivors = new Set(repair.survivors);
  const old = repair.group?.members ?? [];
  const membersByRank = Array.from({ length: size }, (_, rank) => {
    const member = old[rank];
    return member !== undefined && survivors.delete(member) ? member : undefined;
  });
  const rest = [...survivors, ...joining];
  return membersByRank.flatMap((member) => member ?? rest.shift() ?? []);
}

function takeJoiningVms(
  repair: Repair,
  pool: string[],
  table: VmTable,
  reserved: ReadonlySet<string>,
): string[] {
  const { model, modelVersion, size } = repair.replica;
  const missing = size - repair.survivors.length;
  const rankVm = (vm: string): number => {
    if (table.hasWeights(vm, model, modelVersion)) return 0;
    return reserved.has(vm) ? 2 : 1;
  };
  const joining = [...pool].sort((left, right) => rankVm(left) - rankVm(right)).slice(0, missing);
  joining.forEach((vm) => pool.splice(pool.indexOf(vm), 1));
  return joining;
}

/** Returns the spares that hold weights which a selected repair can use. */
function listReservedVms(
  repairs: readonly Repair[],
  pool: readonly string[],
  table: VmTable,
): Set<string> {
  return new Set(
    pool.filter((vm) =>
      repairs.some(({ replica }) => table.hasWeights(vm, replica.model, replica.modelVersion)),
    ),
  );
}

/**
 * Assigns members to the selected repairs, in descending order of the served weight that they
 * restore per byte loaded. Each repair keeps its survivors and prefers spares that already hold its
 * weights. Repairs for which too few VMs are left are omitted.
 */
export function assignMembers(
  repairs: readonly Repair[],
  freeVms: readonly string[],
  table: VmTable,
  memberBytes: ReadonlyMap<string, number>,
): Assignment[] {
  const pool = [...freeVms];
  const reserved = listReservedVms(repairs, pool, table);
  const ordered = repairs
    .map((repair) => {
      const loads = countLoads(repair, pool, table);
      return { repair, weightPerByte: computeWeightPerByte(repair, loads, memberBytes) };
    })
    .sort(
      (left, right) =>
        // The difference of two infinite values is NaN.
        (left.weightPerByte === right.weightPerByte
          ? 0
          : right.weightPerByte - left.weightPerByte) ||
        right.repair.replica.weight - left.repair.replica.weight ||
        (left.repair.replica.name < right.repair.replica.name ? -1 : 1),
    );
  return ordered.flatMap(({ repair }) => {
    if (pool.length < repair.replica.size - repair.survivors.length) return [];
    const members = assignRanks(repair, takeJoiningVms(repair, pool, table, reserved));
    const { model, modelVersion } = repair.replica;
    const loads = members.filter((vm) => !table.hasWeights(vm, model, modelVersion)).length;
    return [{ repair, members, loads }];
  });
}
