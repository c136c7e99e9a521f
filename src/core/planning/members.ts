import type { GroupAllocation } from '../allocation/index.ts';
import { AvailabilityZoneState, EnginePhase, VmRole, VmState } from '../domain-types/index.ts';
import type { Vm } from '../domain-types/index.ts';
import type { PlanningInput, VmView } from './types.ts';
import { VmHealth } from './types.ts';

/** Condition of a VM, which determines whether it can be a member. */
export enum VmCondition {
  Usable = 'usable',
  /** Not probed yet in this lease term. */
  Unknown = 'unknown',
  /** The VM or its availability zone is being taken out; it still runs. */
  Leaving = 'leaving',
  /** Not listed as an engine of this domain, unreachable, or failed. */
  Lost = 'lost',
}

/** Looks up the VMs of a planning input. */
export interface VmTable {
  /** Returns the VM if the VM list contains it as an engine of this domain. */
  findListed(vm: string): Vm | undefined;
  getCondition(vm: string): VmCondition;
  /** Returns whether a VM has loaded the weights of a model version. */
  hasWeights(vm: string, model: string, modelVersion: string): boolean;
}

/** Returns the engine VMs of a fabric domain, which may be members of its groups. */
export function listEngines(vms: readonly Vm[], fabricDomain: string): Vm[] {
  return vms.filter((vm) => vm.role === VmRole.Engine && vm.fabricDomain === fabricDomain);
}

/** Creates the VM table of a planning input. */
export function createVmTable(input: PlanningInput): VmTable {
  const { allocation, configuration, vms, views } = input;
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
      if (vm === undefined) return VmCondition.Lost;
      const view = views.get(name);
      if (view === undefined || view.health === VmHealth.Unknown) return VmCondition.Unknown;
      if (view.health === VmHealth.Lost) return VmCondition.Lost;
      if (view.status?.phase === EnginePhase.Failed) return VmCondition.Lost;
      const isLeaving = vm.state === VmState.Leaving || zonesOut.has(vm.availabilityZone);
      return isLeaving ? VmCondition.Leaving : VmCondition.Usable;
    },
    hasWeights(name, model, modelVersion) {
      const status = views.get(name)?.status;
      const isLoaded = status?.phase === EnginePhase.Ready;
      return isLoaded && status.model === model && status.modelVersion === modelVersion;
    },
  };
}

/** Returns whether the latest status of a VM shows it ready as this member of the group. */
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
 * Returns whether all members are ready at the current generation of the group, according to
 * queries that were sent after the last order to any of them.
 */
export function isConfirmed(group: GroupAllocation, views: ReadonlyMap<string, VmView>): boolean {
  const members = group.members.map((vm) => views.get(vm));
  const isOrdered = members.every(
    (view) => view?.order?.group === group.name && view.order.generation === group.generation,
  );
  const lastOrderSequence = Math.max(...members.map((view) => view?.order?.sequence ?? 0));
  return (
    isOrdered &&
    members.every(
      (view, rank) =>
        view?.health === VmHealth.Reachable &&
        view.querySequence > lastOrderSequence &&
        isReadyMember(view, group, rank),
    )
  );
}
