import type { GroupAllocation, GroupState, VmAllocation } from './types.ts';

/** Kinds of changes that the lease holder makes to the allocation. */
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

/** What a VM entry holds beside its group. */
export type VmEntry = Omit<VmAllocation, 'group'>;

/** Adds a VM as a spare; its home names this domain at the epoch of the lease. */
export interface VmAdoptedEvent {
  kind: AllocationEventKind.VmAdopted;
  vm: VmEntry;
}

/** Takes over address, port, zone and leaving state from the VM list. */
export interface VmUpdatedEvent {
  kind: AllocationEventKind.VmUpdated;
  vm: VmEntry;
}

/** Removes a spare; its home is deleted afterwards. */
export interface VmRemovedEvent {
  kind: AllocationEventKind.VmRemoved;
  vm: string;
}

/** Adds a replica; its home names this domain at the epoch of the lease. */
export interface GroupFormedEvent {
  kind: AllocationEventKind.GroupFormed;
  group: Omit<GroupAllocation, 'state'>;
}

/** Changes members, model or version of a replica and raises its generation. */
export interface GroupReformedEvent {
  kind: AllocationEventKind.GroupReformed;
  group: string;
  model: string;
  modelVersion: string;
  members: string[];
}

/** Changes the state of a replica at one generation. */
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

/** Takes over from the VM list which VMs of plain services leave. */
export interface LeavingServicesChangedEvent {
  kind: AllocationEventKind.LeavingServicesChanged;
  vms: string[];
}

/** A change that the lease holder makes to the allocation. */
export type AllocationEvent =
  | VmAdoptedEvent
  | VmUpdatedEvent
  | VmRemovedEvent
  | GroupFormedEvent
  | GroupReformedEvent
  | GroupStateChangedEvent
  | GroupRemovedEvent
  | LeavingServicesChangedEvent;
