/** A slot that a daemon holds. */
export interface HeldSlot {
  id: string;
  daemon: string;
  expiresMs: number;
}

/** Slots of one target and the state that limits their number, as its granter knows them. */
export interface TargetSlots {
  vm: string;
  /** Epoch of the lease under which slots are granted. */
  epoch: number;
  /** End of the lease; all slots expire by this time. */
  leaseEndMs: number;
  /** Time until which slots of an earlier granter may still be valid. */
  grantFromMs: number;
  /** Time since which the target is not warm; undefined when it is warm or its state is unknown. */
  notWarmSinceMs: number | undefined;
  coldLimit: number;
  /** True when the requests that were running before the first grant have been counted. */
  isCounted: boolean;
  /** Maximum number of requests that may be running at the target without a valid slot. */
  requestsWithoutSlot: number;
  /** Time of the last event that increased `requestsWithoutSlot`. */
  requestsWithoutSlotSinceMs: number;
  slots: readonly HeldSlot[];
  /** Number of the next slot, used in its id. */
  nextSlotNumber: number;
}

/** Kinds of events that change the slots of a target. */
export enum SlotEventKind {
  /** The lease was acquired or renewed. */
  Lease = 'lease',
  /** A probe report says whether the target is warm. */
  WarmState = 'warmth',
  /** The target answered a status query of the granter. */
  Status = 'status',
  /** No slots were requested for a while; without queries, changes of the target may be missed. */
  Idle = 'idle',
  /** A daemon renews, returns or requests slots. */
  SlotRequest = 'ask',
  /** Time has passed, so that slots may have expired. */
  Tick = 'tick',
}

export interface LeaseEvent {
  kind: SlotEventKind.Lease;
  epoch: number;
  leaseEndMs: number;
  grantFromMs: number;
}

export interface WarmStateEvent {
  kind: SlotEventKind.WarmState;
  nowMs: number;
  isWarm: boolean;
}

export interface StatusEvent {
  kind: SlotEventKind.Status;
  /** Earliest time at which the target may have sampled its load. */
  sampledMs: number;
  isWarm: boolean;
  /** Running and queued requests. */
  requests: number;
  coldLimit: number;
}

export interface IdleEvent {
  kind: SlotEventKind.Idle;
}

export interface SlotRequestEvent {
  kind: SlotEventKind.SlotRequest;
  nowMs: number;
  daemon: string;
  renew: readonly string[];
  release: readonly string[];
  want: number;
}

export interface TickEvent {
  kind: SlotEventKind.Tick;
  nowMs: number;
}

export type SlotEvent =
  LeaseEvent | WarmStateEvent | StatusEvent | IdleEvent | SlotRequestEvent | TickEvent;
