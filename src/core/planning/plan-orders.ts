import type { GroupAllocation } from '../allocation/index.ts';
import { GroupState } from '../allocation/index.ts';
import type { EngineOrder } from '../domain-types/index.ts';
import { EnginePhase } from '../domain-types/index.ts';
import type { VmTable } from './members.ts';
import { isReadyMember, VmCondition } from './members.ts';
import type { DeclaredReplica } from './replicas.ts';
import type { OrderAction, PlanningInput, VmView } from './types.ts';
import { PlanActionKind } from './types.ts';

/** Builds the order for one member of a group. */
export function buildMemberOrder(
  input: PlanningInput,
  group: GroupAllocation,
  rank: number,
): EngineOrder {
  const { vms, lease } = input.allocation;
  const leader = vms[group.members[0] ?? ''];
  return {
    epoch: lease.epoch,
    group: group.name,
    generation: group.generation,
    rank,
    size: group.members.length,
    leader: leader === undefined ? null : `${leader.address}:${leader.port}`,
    members: group.members,
    model: group.model,
    modelVersion: group.modelVersion,
  };
}

function buildEmptyOrder(epoch: number): EngineOrder {
  return {
    epoch,
    group: null,
    generation: 0,
    rank: 0,
    size: 0,
    leader: null,
    members: [],
    model: null,
    modelVersion: null,
  };
}

/**
 * Returns whether a member needs an order: none was sent in this lease term, or a later status
 * differs from it.
 */
function needsOrder(view: VmView | undefined, group: GroupAllocation, rank: number): boolean {
  const order = view?.order;
  if (order?.group !== group.name || order.generation !== group.generation) return true;
  const status = view?.status;
  if (status === undefined || view === undefined || view.querySequence <= order.sequence) {
    return false;
  }
  if (isReadyMember(view, group, rank)) return false;
  const isLoading = status.phase === EnginePhase.Loading;
  const isSame = status.group === group.name && status.generation === group.generation;
  return !(isLoading && isSame && status.rank === rank);
}

function planGroupOrders(input: PlanningInput, group: GroupAllocation): OrderAction[] {
  return group.members.flatMap((vm, rank) => {
    if (!needsOrder(input.views.get(vm), group, rank)) return [];
    const order = buildMemberOrder(input, group, rank);
    return [{ kind: PlanActionKind.SendOrder, vm, order }];
  });
}

/**
 * Plans the orders that empty spares. A spare keeps the weights of a declared model, so that it can
 * join a group without loading them. A spare that failed, or that holds a model which is no longer
 * declared, is emptied.
 */
function planSpareOrders(
  input: PlanningInput,
  replicas: ReadonlyMap<string, DeclaredReplica>,
): OrderAction[] {
  const models = new Set([...replicas.values()].map(({ model }) => model));
  return Object.values(input.allocation.vms).flatMap(({ vm, group }): OrderAction[] => {
    const status = input.views.get(vm)?.status;
    if (group !== null || status === undefined || status.phase === EnginePhase.Empty) return [];
    const isUseful = status.model !== null && models.has(status.model);
    if (isUseful && status.phase !== EnginePhase.Failed) return [];
    const order = buildEmptyOrder(input.allocation.lease.epoch);
    return [{ kind: PlanActionKind.SendOrder, vm, order }];
  });
}

/** Plans the orders that bring the VMs into the state that the allocation describes. */
export function planOrders(
  input: PlanningInput,
  replicas: ReadonlyMap<string, DeclaredReplica>,
  table: VmTable,
  changedGroups: ReadonlySet<string>,
): OrderAction[] {
  const groups = input.allocation.groups.filter(
    ({ name, state }) => state !== GroupState.Draining && !changedGroups.has(name),
  );
  const isComplete = (group: GroupAllocation): boolean =>
    group.members.every((vm) => table.getCondition(vm) !== VmCondition.Lost);
  return [
    ...groups.filter(isComplete).flatMap((group) => planGroupOrders(input, group)),
    ...planSpareOrders(input, replicas),
  ];
}
