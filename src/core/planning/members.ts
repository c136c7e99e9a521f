import type { GroupAllocation } from '../allocation/index.ts';
import { AvailabilityZoneState, EnginePhase, VmRole, VmState } from '../world/index.ts';
import type { Vm } from '../world/index.ts';
import type { PlanningWorld, VmView } from './types.ts';
import { VmHealth } from './types.ts';

/** What a plan may do with a VM. */
export enum MemberCondition {
  Usable = 'usable',
  /** Not probed yet in this term. */
  Unknown = 'unknown',
  /** The VM or its availability zone is being taken out; it still runs. */
  Leaving = 'leaving',
  Lost = 'lost',
}

/** Answers questions about the VMs of a world. */
export interface MemberTable {
  /** Returns the VM when the VM list shows it as an engine of this domain. */
  findListed(vm: string): Vm | undefined;
  getCondition(vm: string): MemberCondition;
  /** Tells whether a VM holds the weights of a model version. */
  hasWeights(vm: string, model: string, modelVersion: string): boolean;
}

/** Lists the VMs that may be members in a fabric domain. */
export function listEngines(vms: readonly Vm[], fabricDomain: string): Vm[] {
  return vms.filter((vm) => vm.role === VmRole.Engine && vm.fabricDomain === fabricDomain);
}

/** Creates the member table of a world. */
export function createMemberTable(world: PlanningWorld): MemberTable {
  const { allocation, configuration, vms, views } = world;
  const listed = new Map(listEngines(vms, allocation.fabricDomain).map((vm) => [vm.name, vm]));
  const zonesOut = new Set(
    configuration.availabilityZones
      .filter(({ state }) => state === AvailabilityZoneState.Out)
      .map(({ name }) => name),
  );
  return {
    findListed: (vm) => listed.get(vm),
    getCondition(name) {
      const vm = listed.get(name);
      if (vm === undefined) return MemberCondition.Lost;
      const view = views.get(name);
      if (view === undefined || view.health === VmHealth.Unknown) return MemberCondition.Unknown;
      if (view.health === VmHealth.Lost) return MemberCondition.Lost;
      if (view.status?.phase === EnginePhase.Failed) return MemberCondition.Lost;
      const isLeaving = vm.state === VmState.Leaving || zonesOut.has(vm.availabilityZone);
      return isLeaving ? MemberCondition.Leaving : MemberCondition.Usable;
    },
    hasWeights(name, model, modelVersion) {
      const status = views.get(name)?.status;
      const isLoaded = status?.phase === EnginePhase.Ready;
      return isLoaded && status.model === model && status.modelVersion === modelVersion;
    },
  };
}

/** Tells whether the newest answer of a VM shows exactly this member of the group, ready. */
export function isReadyMember(
  view: VmView | undefined,
  group: GroupAllocation,
  rank: number,
): boolean {
  const status = view?.status;
  if (status === undefined) return false;
  return (
    status.group === group.name &&
    status.generation === group.generation &&
    status.rank === rank &&
    status.phase === EnginePhase.Ready &&
    status.model === group.model &&
    status.modelVersion === group.modelVersion
  );
}

/**
 * Tells whether all members answered a query that was sent after the last order to any of them
 * with exactly this group and generation, ready.
 */
export function isConfirmed(group: GroupAllocation, views: ReadonlyMap<string, VmView>): boolean {
  const members = group.members.map((vm) => views.get(vm));
  const isOrdered = members.every(
    (view) => view?.order?.group === group.name && view.order.generation === group.generation,
  );
  const lastOrder = Math.max(...members.map((view) => view?.order?.sequence ?? 0));
  return (
    isOrdered &&
    members.every(
      (view, rank) =>
        view?.health === VmHealth.Reachable &&
        view.querySequence > lastOrder &&
        isReadyMember(view, group, rank),
    )
  );
}
