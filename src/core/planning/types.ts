import type {
  Allocation,
  AllocationEvent,
  GroupAllocation,
  VersionedHome,
} from '../allocation/index.ts';
import type { Configuration } from '../declarations/index.ts';
import type { EngineOrder, TargetStatus, Vm } from '../world/index.ts';

/** Whether a VM answers status queries of the present lease holder. */
export enum VmHealth {
  /** Not known yet, such as after a takeover. */
  Unknown = 'unknown',
  Reachable = 'reachable',
  /** No query was answered for the time after which a VM counts as lost. */
  Lost = 'lost',
}

/** The newest order that the present lease holder sent to a VM. */
export interface SentOrder {
  group: string | null;
  generation: number;
  /** Place in the sequence of orders and queries of the domain. */
  sequence: number;
}

/** What the lease holder knows of one VM from its own orders and queries. */
export interface VmView {
  health: VmHealth;
  status: TargetStatus | undefined;
  /** Sequence number and time at which the query behind the status was sent. */
  querySequence: number;
  queriedMs: number;
  order: SentOrder | undefined;
}

/** Bounds and delays of planning. */
export interface PlanningLimits {
  /** A draining group may still get new work for this long, from daemons with an older copy. */
  drainQuietMs: number;
  /** A draining group is stopped after this time even when requests are running. */
  drainTimeoutMs: number;
  /** A fabric domain waits this long for each domain before it in the order of a replica. */
  claimStepMs: number;
  /** Members of the domain that may load weights at the same time. */
  maxLoadsInFlight: number;
  maxAllocationBytes: number;
}

/** Everything that a plan depends on. */
export interface PlanningWorld {
  allocation: Allocation;
  configuration: Configuration;
  /** The whole VM list. */
  vms: readonly Vm[];
  views: ReadonlyMap<string, VmView>;
  /** Homes of VMs that this domain owns or that concern its VMs, by VM. */
  vmHomes: ReadonlyMap<string, VersionedHome>;
  /** Homes of all replicas, by group. */
  replicaHomes: ReadonlyMap<string, VersionedHome>;
  /** Groups of other fabric domains; read only while a change of version is pending. */
  peerGroups: readonly GroupAllocation[] | undefined;
  nowMs: number;
  /** When this process first saw a replica without a home, by group. */
  unplacedSinceMs: ReadonlyMap<string, number>;
  /** When this process first saw a group draining, by group. */
  drainingSinceMs: ReadonlyMap<string, number>;
  /** Bytes of weights that one member loads, by model; other models count as equal. */
  memberBytes: ReadonlyMap<string, number>;
  limits: PlanningLimits;
}

/** Kinds of actions of a plan. */
export enum PlanActionKind {
  ClaimVm = 'claim-vm',
  ReleaseVm = 'release-vm',
  ClaimReplica = 'claim-replica',
  ReleaseReplica = 'release-replica',
  ChangeAllocation = 'change-allocation',
  SendOrder = 'send-order',
  ReportTooLarge = 'report-too-large',
}

/** Writes the home of a VM or of a replica, so that it names this domain at this epoch. */
export interface ClaimAction {
  kind: PlanActionKind.ClaimVm | PlanActionKind.ClaimReplica;
  name: string;
  /** Version of the home that the plan is made from; 0 when there is none. */
  version: number;
}

/** Deletes the home of a VM or of a replica that the allocation no longer holds. */
export interface ReleaseAction {
  kind: PlanActionKind.ReleaseVm | PlanActionKind.ReleaseReplica;
  name: string;
  version: number;
}

/** Changes the allocation; all changes of a plan go into one write. */
export interface ChangeAction {
  kind: PlanActionKind.ChangeAllocation;
  event: AllocationEvent;
}

/** Sends the whole desired state to a VM. */
export interface OrderAction {
  kind: PlanActionKind.SendOrder;
  vm: string;
  order: EngineOrder;
}

/** Tells operators that VMs were not adopted because the allocation would be too large. */
export interface TooLargeAction {
  kind: PlanActionKind.ReportTooLarge;
  bytes: number;
}

/** One step that a plan asks for. */
export type PlanAction = ClaimAction | ReleaseAction | ChangeAction | OrderAction | TooLargeAction;
