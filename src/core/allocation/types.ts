/** The right to do the control work of one fabric domain. */
export interface Lease {
  /** Name of the controller, unique for each start of the process. */
  holder: string;
  /** VM of the controller; the entry daemon on the same VM grants slots. */
  vm: string;
  /** Fencing number; raised at each change of holder. */
  epoch: number;
  /** Raised at each renewal. */
  renewal: number;
  durationMs: number;
  /** True after a planned stop; another controller may take the lease at once. */
  released: boolean;
}

/** Progress of a group as its controller sees it. */
export enum GroupState {
  /** Members load the model. */
  Forming = 'forming',
  /** All members have reported the generation, ready. */
  Serving = 'serving',
  /** Takes no new work and finishes what it has. */
  Draining = 'draining',
}

/** One replica of a serving group. */
export interface GroupAllocation {
  /** Unique name: serving group, a hyphen and a replica number. */
  name: string;
  servingGroup: string;
  model: string;
  modelVersion: string;
  /** Raised at each change of the members. */
  generation: number;
  state: GroupState;
  /** VM names in order of their rank. */
  members: string[];
}

/** Place of a VM in the fabric domain; a VM has one entry, so it cannot be in two groups. */
export interface VmAllocation {
  vm: string;
  address: string;
  port: number;
  availabilityZone: string;
  /** Null for a spare. */
  group: string | null;
  /** True when the VM list says that the VM leaves, or an operator drains it. */
  leaving: boolean;
}

/** Value of the platform object `allocation/<fabricDomain>`. */
export interface Allocation {
  fabricDomain: string;
  lease: Lease;
  groups: GroupAllocation[];
  /** One entry for each VM, by name. */
  vms: Record<string, VmAllocation>;
  /** VMs of plain services in this fabric domain that the VM list shows as leaving. */
  leavingServices?: string[] | undefined;
}
