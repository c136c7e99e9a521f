/** What a VM of the VM list is for. */
export enum VmRole {
  Entry = 'entry',
  Engine = 'engine',
  Service = 'service',
}

/** Whether a VM stays or is about to be taken away. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Whether operators let an availability zone take new work. */
export enum AvailabilityZoneState {
  In = 'in',
  Out = 'out',
}

/** What an engine member says of its own progress. */
export enum EnginePhase {
  Empty = 'empty',
  Loading = 'loading',
  Ready = 'ready',
  Failed = 'failed',
}

/** Outcome of a request as the caller sees it in the `x-outcome` header. */
export enum Outcome {
  Done = 'done',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Order in which queued requests of one customer are sent. */
export enum Priority {
  Low = 'low',
  Normal = 'normal',
  High = 'high',
}

/** A VM as the platform's VM list gives it. */
export interface Vm {
  name: string;
  /** IP address. */
  address: string;
  /** TCP port of the target on the VM. */
  port: number;
  availabilityZone: string;
  region: string;
  fabricDomain: string;
  role: VmRole;
  accelerators: number;
  state: VmState;
}

/** Load that a target reports, late. */
export interface TargetLoad {
  /** Requests in the running batch. */
  running: number;
  /** Requests that wait in the target. */
  queued: number;
  /** Tokens of KV cache held by running and queued requests. */
  heldTokens: number;
  /** Tokens of KV cache that the target can hold. */
  capacityTokens: number;
  /** Requests that the target can take at once while it is cold. */
  coldLimit: number;
  /** Age of these figures at the target, in milliseconds. */
  ageMs: number;
}

/** Answer of a target to a status query. */
export interface TargetStatus {
  /** Changes whenever the process on the VM restarts. */
  instanceId: string;
  /** Group that the member belongs to; null when it belongs to none. */
  group: string | null;
  generation: number;
  /** Newest fencing number that the member has seen. */
  epoch: number;
  rank: number;
  phase: EnginePhase;
  /** False while the target can take only `load.coldLimit` requests. */
  warm: boolean;
  model: string | null;
  modelVersion: string | null;
  load: TargetLoad;
}

/** Order to an engine member: the whole state that it shall have. */
export interface EngineOrder {
  /** Fencing number: the epoch of the lease of the fabric domain. */
  epoch: number;
  /** Null empties the member. */
  group: string | null;
  generation: number;
  rank: number;
  size: number;
  /** Address and port of the member with rank 0. */
  leader: string | null;
  /** VM names in order of their rank. */
  members: string[];
  model: string | null;
  modelVersion: string | null;
}
