import type { MemberTable } from './members.ts';
import type { Repair } from './repairs.ts';
import { countLoads } from './repairs.ts';

/** A repair with the members that it gets. */
export interface Assignment {
  repair: Repair;
  /** VM names in order of their rank. */
  members: string[];
  /** Members that must load weights. */
  loads: number;
}

/** Computes the served weight that returns per byte loaded; infinite without a load. */
function computeReturn(
  repair: Repair,
  loads: number,
  memberBytes: ReadonlyMap<string, number>,
): number {
  const bytes = loads * (memberBytes.get(repair.replica.model) ?? 1);
  return bytes === 0 ? Number.POSITIVE_INFINITY : repair.replica.weight / bytes;
}

/** Puts survivors at their old ranks, so that the leader stays when it survived. */
function placeMembers(repair: Repair, joining: readonly string[]): string[] {
  const { size } = repair.replica;
  const survivors = new Set(repair.survivors);
  const old = repair.group?.members ?? [];
  const places = Array.from({ length: size }, (_, rank) => {
    const member = old[rank];
    return member !== undefined && survivors.delete(member) ? member : undefined;
  });
  const rest = [...survivors, ...joining];
  return places.flatMap((member) => member ?? rest.shift() ?? []);
}

function takeJoining(
  repair: Repair,
  pool: string[],
  table: MemberTable,
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

/** Spares whose weights another selected repair can use. */
function listReserved(
  repairs: readonly Repair[],
  pool: readonly string[],
  table: MemberTable,
): Set<string> {
  return new Set(
    pool.filter((vm) =>
      repairs.some(({ replica }) => table.hasWeights(vm, replica.model, replica.modelVersion)),
    ),
  );
}

/**
 * Gives members to the selected repairs, in the order of the served weight that they return per
 * byte. Each keeps its survivors and prefers spares that hold its weights. Repairs for which the
 * free VMs do not suffice are left out.
 */
export function assignMembers(
  repairs: readonly Repair[],
  freeVms: readonly string[],
  table: MemberTable,
  memberBytes: ReadonlyMap<string, number>,
): Assignment[] {
  const pool = [...freeVms];
  const reserved = listReserved(repairs, pool, table);
  const ordered = repairs
    .map((repair) => {
      const loads = countLoads(repair, pool, table);
      return { repair, value: computeReturn(repair, loads, memberBytes) };
    })
    .sort(
      (left, right) =>
        // Infinite values are equal; their difference is not a number.
        (left.value === right.value ? 0 : right.value - left.value) ||
        right.repair.replica.weight - left.repair.replica.weight ||
        (left.repair.replica.name < right.repair.replica.name ? -1 : 1),
    );
  return ordered.flatMap(({ repair }) => {
    if (pool.length < repair.replica.size - repair.survivors.length) return [];
    const members = placeMembers(repair, takeJoining(repair, pool, table, reserved));
    const { model, modelVersion } = repair.replica;
    const loads = members.filter((vm) => !table.hasWeights(vm, model, modelVersion)).length;
    return [{ repair, members, loads }];
  });
}
