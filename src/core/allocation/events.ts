import type { GroupAllocation, GroupState, VmAllocation } from './types.ts';

/** Kinds of changes that the lease holder makes to an allocation. */
export enum AllocationEventKind {
  VmAdopted = 'vm-adopted',
  VmUpdated = 'vm-updated',
  VmRemoved = 'vm-removed',
  GroupFormed = 'group-formed',
  GroupReformed = 'group-reformed',
  GroupStateChanged = 'group-state-changed',
  GroupRemoved = 'group-removed',
  LeavingServicesChanged = 'leaving-services-changed',
}

/** The fields of a VM entry other than its group. */
export type VmEntry = Omit<VmAllocation, 'group'>;

/** Adds a VM as a spare, once its home records this domain at the epoch of the lease. */
export interface VmAdoptedEvent {
  kind: AllocationEventKind.VmAdopted;
  vm: VmEntry;
}

/** Copies the address, port, availability zone and leaving state of a VM from the VM list. */
export interface VmUpdatedEvent {
  kind: AllocationEventKind.VmUpdated;
  vm: VmEntry;
}

/** Removes a spare VM; its home is deleted afterwards. */
export interface VmRemovedEvent {
  kind: AllocationEventKind.VmRemoved;
  vm: string;
}

/** Adds a replica, once its home records this domain at the epoch of the lease. */
export interface GroupFormedEvent {
  kind: AllocationEventKind.GroupFormed;
  group: Omit<GroupAllocation, 'state'>;
}

/** Changes the members, model or model version of a replica and increments its generation. */
export interface GroupReformedEvent {
  kind: AllocationEventKind.GroupReformed;
  group: string;
  model: string;
  modelVersion: string;
  members: string[];
}

/** Changes the state of a replica; refused when the replica has another generation. */
export interface GroupStateChangedEvent {
  kind: AllocationEventKind.GroupStateChanged;
  group: string;
  generation: number;
  state: GroupState;
}

/** Removes a replica; its members become spares. */
export interface GroupRemovedEvent {
  kind: AllocationEventKind.GroupRemoved;
  group: string;
}

/** Copies from the VM list which VMs of plain services are leaving. */
export interface LeavingServicesChangedEvent {
  kind: AllocationEventKind.LeavingServicesChanged;
  vms: string[];
}

/** A change that the lease holder makes to an allocation. */
export type AllocationEvent =
  | VmAdoptedEvent
  | VmUpdatedEvent
  | VmRemovedEvent
  | GroupFormedEvent
  | GroupReformedEvent
  | GroupStateChangedEvent
  | GroupRemovedEvent
  | LeavingServicesChangedEvent;
