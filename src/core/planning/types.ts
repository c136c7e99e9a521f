import type {
  Allocation,
  AllocationEvent,
  GroupAllocation,
  VersionedHome,
} from '../allocation/index.ts';
import type { Configuration } from '../declarations/index.ts';
import type { EngineOrder, TargetStatus, Vm } from '../domain-types/index.ts';

/** Whether a VM answers status queries of the current lease holder. */
export enum VmHealth {
  /** Not known yet, for example after a lease takeover. */
  Unknown = 'unknown',
  Reachable = 'reachable',
  /** As many queries in a row have failed as it takes for a VM to count as lost. */
  Lost = 'lost',
}

/** The latest order that the current lease holder sent to a VM. */
export interface SentOrder {
  group: string | null;
  generation: number;
  /** Sequence number among the orders and queries of the domain. */
  sequence: number;
}

/** What the lease holder knows about one VM from its own orders and queries. */
export interface VmView {
  health: VmHealth;
  status: TargetStatus | undefined;
  /** Sequence number of the query that returned the status. */
  querySequence: number;
  /** Time at which that query was sent. */
  queriedMs: number;
  order: SentOrder | undefined;
}

/** Limits and delays of planning. */
export interface PlanningLimits {
  /** Time for which daemons with an older copy may still send new requests to a draining group. */
  drainQuietMs: number;
  /** Time after which a draining group is stopped even if requests are running. */
  drainTimeoutMs: number;
  /** Delay before claiming a replica, for each domain ahead in the replica's rendezvous order. */
  claimStepMs: number;
  /** Maximum number of members of the domain that load weights at the same time. */
  maxLoadsInFlight: number;
  maxAllocationBytes: number;
}

/** Everything that a plan of one fabric domain depends on. */
export interface PlanningInput {
  allocation: Allocation;
  configuration: Configuration;
  /** The whole VM list. */
  vms: readonly Vm[];
  views: ReadonlyMap<string, VmView>;
  /** Homes of VMs that this domain owns or that concern its VMs, by VM. */
  vmHomes: ReadonlyMap<string, VersionedHome>;
  /** Homes of all replicas, by group. */
  replicaHomes: ReadonlyMap<string, VersionedHome>;
  /** Groups of other fabric domains; read only while a version update is pending. */
  peerGroups: readonly GroupAllocation[] | undefined;
  nowMs: number;
  /** When this process first saw a replica without a home, by group. */
  unplacedSinceMs: ReadonlyMap<string, number>;
  /** When this process first saw a group draining, by group. */
  drainingSinceMs: ReadonlyMap<string, number>;
  /** Bytes of weights that one member loads, by model; unlisted models count as equal in size. */
  memberBytes: ReadonlyMap<string, number>;
  limits: PlanningLimits;
}

/** Kinds of actions in a plan. */
export enum PlanActionKind {
  ClaimVm = 'claim-vm',
  ReleaseVm = 'release-vm',
  ClaimReplica = 'claim-replica',
  ReleaseReplica = 'release-replica',
  ChangeAllocation = 'change-allocation',
  SendOrder = 'send-order',
  ReportTooLarge = 'report-too-large',
}

/** Writes the home of a VM or a replica, so that it records this domain at this epoch. */
export interface ClaimAction {
  kind: PlanActionKind.ClaimVm | PlanActionKind.ClaimReplica;
  name: string;
  /** Version of the home that the plan was based on; 0 when there is none. */
  version: number;
}

/** Deletes the home of a VM or a replica that the allocation no longer contains. */
export interface ReleaseAction {
  kind: PlanActionKind.ReleaseVm | PlanActionKind.ReleaseReplica;
  name: string;
  version: number;
}

/** Changes the allocation; all changes of a plan are combined into one write. */
export interface ChangeAction {
  kind: PlanActionKind.ChangeAllocation;
  event: AllocationEvent;
}

/** Sends the complete desired state to a VM. */
export interface OrderAction {
  kind: PlanActionKind.SendOrder;
  vm: string;
  order: EngineOrder;
}

/** Reports to operators that VMs were not adopted because the allocation would be too large. */
export interface TooLargeAction {
  kind: PlanActionKind.ReportTooLarge;
  bytes: number;
}

/** One action of a plan. */
export type PlanAction = ClaimAction | ReleaseAction | ChangeAction | OrderAction | TooLargeAction;
