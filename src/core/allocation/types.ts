/** Exclusive right of one controller to manage a fabric domain. */
export interface Lease {
  /** Name of the controller process; each start of the process gets a new one. */
  holder: string;
  /** VM of the controller; the entry daemon on the same VM grants slots. */
  vm: string;
  /** Fencing token; incremented at each change of holder. */
  epoch: number;
  /** Incremented at each renewal. */
  renewal: number;
  durationMs: number;
  /** True after a planned stop; another controller may acquire the lease immediately. */
  released: boolean;
}

/** State of a group as its controller last recorded it. */
export enum GroupState {
  /** The members are loading the model. */
  Forming = 'forming',
  /** All members have reported that they are ready at the current generation. */
  Serving = 'serving',
  /** Accepts no new requests and finishes the running ones. */
  Draining = 'draining',
}

/** One replica of a serving group and the VMs that it runs on. */
export interface GroupAllocation {
  /** Unique name: the serving group, a hyphen and the replica number. */
  name: string;
  servingGroup: string;
  model: string;
  modelVersion: string;
  /** Incremented when the members, the model or the model version change. */
  generation: number;
  state: GroupState;
  /** VM names in order of their rank. */
  members: string[];
}

/** Entry of a VM in an allocation; a VM has only one entry, so it cannot be in two groups. */
export interface VmAllocation {
  vm: string;
  address: string;
  port: number;
  availabilityZone: string;
  /** Name of the group that the VM belongs to; null for a spare. */
  group: string | null;
  /** True when the VM list marks the VM as leaving or an operator drains it. */
  leaving: boolean;
}

/** Value of the platform object `allocation/<fabricDomain>`. */
export interface Allocation {
  fabricDomain: string;
  lease: Lease;
  groups: GroupAllocation[];
  /** VM entries by VM name. */
  vms: Record<string, VmAllocation>;
  /** VMs of plain services in this fabric domain that the VM list marks as leaving. */
  leavingServices?: string[] | undefined;
}
