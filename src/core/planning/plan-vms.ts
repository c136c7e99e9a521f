import type { VmEntry } from '../allocation/index.ts';
import {
  AllocationEventKind,
  isHomeOwned,
  mayWriteHome,
  measureAllocation,
} from '../allocation/index.ts';
import type { Vm } from '../domain-types/index.ts';
import { VmRole, VmState } from '../domain-types/index.ts';
import type { VmTable } from './members.ts';
import { listEngines } from './members.ts';
import type { PlanAction, PlanningInput } from './types.ts';
import { PlanActionKind } from './types.ts';

function buildEntry(vm: Vm): VmEntry {
  const { name, address, port, availabilityZone, state } = vm;
  return { vm: name, address, port, availabilityZone, leaving: state === VmState.Leaving };
}

function isSameEntry(left: VmEntry, right: VmEntry): boolean {
  return (
    left.address === right.address &&
    left.port === right.port &&
    left.availabilityZone === right.availabilityZone &&
    left.leaving === right.leaving
  );
}

function planAdoptions(input: PlanningInput): PlanAction[] {
  const { allocation, vmHomes, limits } = input;
  const { fabricDomain, lease } = allocation;
  const adoptableVms = listEngines(input.vms, fabricDomain).filter((vm) => {
    const home = vmHomes.get(vm.name);
    const mayAdopt = home === undefined || mayWriteHome(home, fabricDomain, lease.epoch);
    return vm.state === VmState.Live && allocation.vms[vm.name] === undefined && mayAdopt;
  });
  if (adoptableVms.length === 0) return [];
  let bytes = measureAllocation(allocation);
  const actions: PlanAction[] = [];
  for (const vm of adoptableVms) {
    const entry = buildEntry(vm);
    // In the JSON text, the entry takes 4 more bytes for quotes, colon and comma, plus its key.
    bytes += JSON.stringify({ ...entry, group: null }).length + vm.name.length + 4;
    if (bytes > limits.maxAllocationBytes) {
      return [...actions, { kind: PlanActionKind.ReportTooLarge, bytes }];
    }
    const home = vmHomes.get(vm.name);
    const isOwned = isHomeOwned(home, fabricDomain, lease.epoch);
    actions.push(
      isOwned
        ? {
            kind: PlanActionKind.ChangeAllocation,
            event: { kind: AllocationEventKind.VmAdopted, vm: entry },
          }
        : { kind: PlanActionKind.ClaimVm, name: vm.name, version: home?.version ?? 0 },
    );
  }
  return actions;
}

function planEntryChanges(input: PlanningInput, table: VmTable): PlanAction[] {
  return Object.values(input.allocation.vms).flatMap((entry): PlanAction[] => {
    const listed = table.findListed(entry.vm);
    const isGone = listed === undefined || listed.state === VmState.Leaving;
    if (isGone && entry.group === null) {
      const event = { kind: AllocationEventKind.VmRemoved, vm: entry.vm } as const;
      return [{ kind: PlanActionKind.ChangeAllocation, event }];
    }
    if (listed === undefined || isSameEntry(entry, buildEntry(listed))) return [];
    const event = { kind: AllocationEventKind.VmUpdated, vm: buildEntry(listed) } as const;
    return [{ kind: PlanActionKind.ChangeAllocation, event }];
  });
}

function planHomeReleases(input: PlanningInput, table: VmTable): PlanAction[] {
  const { fabricDomain, vms, lease } = input.allocation;
  return [...input.vmHomes].flatMap(([name, home]): PlanAction[] => {
    const isUnusedHome = mayWriteHome(home, fabricDomain, lease.epoch) && vms[name] === undefined;
    const isWanted = table.findListed(name)?.state === VmState.Live;
    if (!isUnusedHome || isWanted) return [];
    return [{ kind: PlanActionKind.ReleaseVm, name, version: home.version }];
  });
}

/** VMs of plain services are not adopted, but leaving ones must receive no new calls. */
function planLeavingServices(input: PlanningInput): PlanAction[] {
  const { fabricDomain, leavingServices = [] } = input.allocation;
  const vms = input.vms
    .filter((vm) => vm.role === VmRole.Service && vm.fabricDomain === fabricDomain)
    .filter((vm) => vm.state === VmState.Leaving)
    .map(({ name }) => name)
    .sort();
  if (vms.join() === leavingServices.join()) return [];
  const event = { kind: AllocationEventKind.LeavingServicesChanged, vms } as const;
  return [{ kind: PlanActionKind.ChangeAllocation, event }];
}

/**
 * Plans which VMs the domain holds. A VM is adopted only after its home was written at this epoch,
 * and its home is deleted only after the VM was removed from the allocation.
 */
export function planVms(input: PlanningInput, table: VmTable): PlanAction[] {
  return [
    ...planHomeReleases(input, table),
    ...planLeavingServices(input),
    ...planEntryChanges(input, table),
    ...planAdoptions(input),
  ];
}
