/** A slot that a daemon holds. */
export interface HeldSlot {
  id: string;
  daemon: string;
  expiresMs: number;
}

/** Slots of one cold target at its granter. */
export interface TargetSlots {
  vm: string;
  /** Epoch of the lease under which the slots are granted. */
  epoch: number;
  /** No slot outlives this time. */
  leaseEndMs: number;
  /** Grants of an earlier granter are in force until this time. */
  grantFromMs: number;
  /** Time since which the target isn't warm; undefined when warm or not known. */
  notWarmSinceMs: number | undefined;
  coldLimit: number;
  /** True when the requests that ran before the first grant are counted. */
  isCounted: boolean;
  /** Requests that may run at the target without a slot in force. */
  uncovered: number;
  /** Time of the last event that added to `uncovered`. */
  uncoveredSinceMs: number;
  slots: readonly HeldSlot[];
  /** Number of the next slot. */
  nextSlot: number;
}

/** What happened to the slots of a target. */
export enum SlotEventKind {
  /** The lease was taken or renewed. */
  Lease = 'lease',
  /** Some daemon's report says whether the target is warm. */
  Warmth = 'warmth',
  /** The target answered a status query of the granter. */
  Status = 'status',
  /** Nobody asked for a while, so that changes of the target may have been missed. */
  Idle = 'idle',
  /** A daemon renews, returns and asks for slots. */
  Ask = 'ask',
  Tick = 'tick',
}

export interface LeaseEvent {
  kind: SlotEventKind.Lease;
  epoch: number;
  leaseEndMs: number;
  grantFromMs: number;
}

export interface WarmthEvent {
  kind: SlotEventKind.Warmth;
  nowMs: number;
  isWarm: boolean;
}

export interface StatusEvent {
  kind: SlotEventKind.Status;
  /** Time at which the target took its load figures, at the earliest. */
  sampledMs: number;
  isWarm: boolean;
  /** Running and queued requests. */
  requests: number;
  coldLimit: number;
}

export interface IdleEvent {
  kind: SlotEventKind.Idle;
}

export interface AskEvent {
  kind: SlotEventKind.Ask;
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

export type SlotEvent = LeaseEvent | WarmthEvent | StatusEvent | IdleEvent | AskEvent | TickEvent;
