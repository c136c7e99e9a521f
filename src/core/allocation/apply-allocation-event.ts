import { createError, ErrorKind } from '../errors/index.ts';
import type { AllocationEvent, GroupFormedEvent, GroupReformedEvent, VmEntry } from './events.ts';
import { AllocationEventKind } from './events.ts';
import type { Allocation, GroupAllocation, VmAllocation } from './types.ts';
import { GroupState } from './types.ts';

function refuse(allocation: Allocation, problem: string): never {
  const { fabricDomain } = allocation;
  throw createError(ErrorKind.AllocationChangeRefused, { fabricDomain, problem });
}

function getGroup(allocation: Allocation, name: string): GroupAllocation {
  const group = allocation.groups.find((candidate) => candidate.name === name);
  return group ?? refuse(allocation, `group ${name} does not exist`);
}

function getVm(allocation: Allocation, name: string): VmAllocation {
  return allocation.vms[name] ?? refuse(allocation, `VM ${name} is not in the allocation`);
}

function setVm(allocation: Allocation, vm: VmAllocation): Allocation {
  return { ...allocation, vms: { ...allocation.vms, [vm.vm]: vm } };
}

function adoptVm(allocation: Allocation, vm: VmEntry): Allocation {
  if (allocation.vms[vm.vm] !== undefined) refuse(allocation, `VM ${vm.vm} is already adopted`);
  return setVm(allocation, { ...vm, group: null });
}

function updateVm(allocation: Allocation, vm: VmEntry): Allocation {
  const { group } = getVm(allocation, vm.vm);
  return setVm(allocation, { ...vm, group });
}

function removeVm(allocation: Allocation, name: string): Allocation {
  const { group } = getVm(allocation, name);
  if (group !== null) refuse(allocation, `VM ${name} is a member of group ${group}`);
  const { [name]: removed, ...vms } = allocation.vms;
  return { ...allocation, vms };
}

/** Updates the VM entries so that exactly the given members belong to the group. */
function setMembers(allocation: Allocation, group: string, members: readonly string[]): Allocation {
  if (new Set(members).size !== members.length) refuse(allocation, `${group} repeats a member`);
  const vms = { ...allocation.vms };
  for (const entry of Object.values(allocation.vms)) {
    if (entry.group === group) vms[entry.vm] = { ...entry, group: null };
  }
  for (const member of members) {
    const entry = vms[member] ?? getVm(allocation, member);
    if (entry.group !== null) refuse(allocation, `VM ${member} is a member of ${entry.group}`);
    vms[member] = { ...entry, group };
  }
  return { ...allocation, vms };
}

function formGroup(allocation: Allocation, { group }: GroupFormedEvent): Allocation {
  const exists = allocation.groups.some(({ name }) => name === group.name);
  if (exists) refuse(allocation, `group ${group.name} already exists`);
  const formed = { ...group, state: GroupState.Forming };
  const added = { ...allocation, groups: [...allocation.groups, formed] };
  return setMembers(added, group.name, group.members);
}

function replaceGroup(allocation: Allocation, group: GroupAllocation): Allocation {
  const groups = allocation.groups.map((other) => (other.name === group.name ? group : other));
  return { ...allocation, groups };
}

function reformGroup(allocation: Allocation, event: GroupReformedEvent): Allocation {
  const group = getGroup(allocation, event.group);
  const { model, modelVersion, members } = event;
  const generation = group.generation + 1;
  const state = GroupState.Forming;
  const reformed = { ...group, model, modelVersion, members, generation, state };
  return setMembers(replaceGroup(allocation, reformed), group.name, members);
}

function setGroupState(
  allocation: Allocation,
  name: string,
  generation: number,
  state: GroupState,
): Allocation {
  const group = getGroup(allocation, name);
  if (group.generation !== generation) {
    refuse(allocation, `${name} is at generation ${group.generation}, not ${generation}`);
  }
  return replaceGroup(allocation, { ...group, state });
}

function removeGroup(allocation: Allocation, name: string): Allocation {
  const { name: found } = getGroup(allocation, name);
  const groups = allocation.groups.filter((group) => group.name !== found);
  return setMembers({ ...allocation, groups }, found, []);
}

/**
 * Returns the allocation with one change applied.
 *
 * @throws AllocationChangeRefused when the change conflicts with the allocation, for example when
 *   a VM would be in two groups.
 */
export function applyAllocationEvent(allocation: Allocation, event: AllocationEvent): Allocation {
  switch (event.kind) {
    case AllocationEventKind.VmAdopted:
      return adoptVm(allocation, event.vm);
    case AllocationEventKind.VmUpdated:
      return updateVm(allocation, event.vm);
    case AllocationEventKind.VmRemoved:
      return removeVm(allocation, event.vm);
    case AllocationEventKind.GroupFormed:
      return formGroup(allocation, event);
    case AllocationEventKind.GroupReformed:
      return reformGroup(allocation, event);
    case AllocationEventKind.GroupStateChanged:
      return setGroupState(allocation, event.group, event.generation, event.state);
    case AllocationEventKind.GroupRemoved:
      return removeGroup(allocation, event.group);
    case AllocationEventKind.LeavingServicesChanged:
      return { ...allocation, leavingServices: event.vms };
    default:
      return event satisfies never;
  }
}
