/** Purpose of a VM in the VM list. */
export enum VmRole {
  Entry = 'entry',
  Engine = 'engine',
  Service = 'service',
}

/** Whether a VM stays available or is about to be removed. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Whether an availability zone may take new work; operators set it. */
export enum AvailabilityZoneState {
  In = 'in',
  Out = 'out',
}

/** Model loading phase that an engine member reports. */
export enum EnginePhase {
  Empty = 'empty',
  Loading = 'loading',
  Ready = 'ready',
  Failed = 'failed',
}

/** Outcome of a request, sent to the caller in the `x-outcome` header. */
export enum Outcome {
  Done = 'done',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Priority of a request among the queued requests of one customer. */
export enum Priority {
  Low = 'low',
  Normal = 'normal',
  High = 'high',
}

/** A VM in the platform's VM list. */
export interface Vm {
  name: string;
  /** IP address. */
  address: string;
  /** TCP port of the target on the VM. */
  port: number;
  availabilityZone: string;
  region: string;
  /** Only VMs of the same fabric domain can hold members of one replica. */
  fabricDomain: string;
  role: VmRole;
  accelerators: number;
  state: VmState;
}

/** Load that a target reports; it is outdated by `ageMs` or more on arrival. */
export interface TargetLoad {
  /** Number of requests in the running batch. */
  running: number;
  /** Number of requests that wait in the queue of the target. */
  queued: number;
  /** KV cache tokens that running and queued requests occupy. */
  heldTokens: number;
  /** KV cache capacity of the target in tokens. */
  capacityTokens: number;
  /** Maximum number of concurrent requests while the target is cold. */
  coldLimit: number;
  /** Age of these figures at the target, in milliseconds. */
  ageMs: number;
}

/** Response of a target to a status query. */
export interface TargetStatus {
  /** Changes whenever the process on the VM restarts. */
  instanceId: string;
  /** Group that the member belongs to, or null. */
  group: string | null;
  generation: number;
  /** Newest fencing token that the member has seen. */
  epoch: number;
  rank: number;
  phase: EnginePhase;
  /** False while the target can take only `load.coldLimit` concurrent requests. */
  warm: boolean;
  model: string | null;
  modelVersion: string | null;
  load: TargetLoad;
}

/** Order to an engine member: the complete state that it should have. */
export interface EngineOrder {
  /** Fencing token: the epoch of the lease of the fabric domain. */
  epoch: number;
  /** Group that the member should belong to; null removes it from its group and unloads its model. */
  group: string | null;
  generation: number;
  rank: number;
  size: number;
  /** Address and port of the member with rank 0. */
  leader: string | null;
  /** VM names of all members, ordered by rank. */
  members: string[];
  model: string | null;
  modelVersion: string | null;
}
