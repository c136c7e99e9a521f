import { REQUEST_SETTLE_MS, SLOT_LIFETIME_MS, COLD_DETECTION_MS } from './consts.ts';
import { SlotEventKind } from './slot-state.ts';
import type {
  SlotRequestEvent,
  HeldSlot,
  LeaseEvent,
  SlotEvent,
  StatusEvent,
  TargetSlots,
  WarmStateEvent,
} from './slot-state.ts';

/** Builds the state of a target without slots; none are granted until its requests are counted. */
export function buildTargetSlots(vm: string): TargetSlots {
  return {
    vm,
    epoch: 0,
    leaseEndMs: 0,
    grantFromMs: Infinity,
    notWarmSinceMs: undefined,
    coldLimit: 0,
    isCounted: false,
    requestsWithoutSlot: 0,
    requestsWithoutSlotSinceMs: 0,
    slots: [],
    nextSlotNumber: 1,
  };
}

/** Returns the number of slots that may still be granted. */
export function countFreeSlots(state: TargetSlots): number {
  if (!state.isCounted) return 0;
  return Math.max(0, state.coldLimit - state.slots.length - state.requestsWithoutSlot);
}

/** Returns the unexpired slots that a daemon holds. */
export function listDaemonSlots(state: TargetSlots, daemon: string): HeldSlot[] {
  return state.slots.filter((slot) => slot.daemon === daemon);
}

function applyLease(state: TargetSlots, event: LeaseEvent): TargetSlots {
  const { epoch, leaseEndMs, grantFromMs } = event;
  if (epoch === state.epoch) return { ...state, leaseEndMs };
  // In a new epoch, the slots that other granters granted in between are unknown.
  const { vm, notWarmSinceMs } = state;
  return { ...buildTargetSlots(vm), notWarmSinceMs, epoch, leaseEndMs, grantFromMs };
}

function applyWarmState(state: TargetSlots, { isWarm, nowMs }: WarmStateEvent): TargetSlots {
  if (isWarm) return { ...state, notWarmSinceMs: undefined, isCounted: false };
  return { ...state, notWarmSinceMs: state.notWarmSinceMs ?? nowMs };
}

/** Removes expired slots; the request of a slot that was not returned may still be running. */
function expireSlots(state: TargetSlots, nowMs: number): TargetSlots {
  const expired = state.slots.filter(({ expiresMs }) => expiresMs <= nowMs);
  if (expired.length === 0) return state;
  return {
    ...state,
    slots: state.slots.filter(({ expiresMs }) => expiresMs > nowMs),
    requestsWithoutSlot: state.requestsWithoutSlot + expired.length,
    requestsWithoutSlotSinceMs: Math.max(...expired.map(({ expiresMs }) => expiresMs)),
  };
}

function applyRequestCount(state: TargetSlots, { sampledMs, requests }: StatusEvent): TargetSlots {
  const notWarmSinceMs = state.notWarmSinceMs ?? sampledMs;
  if (state.isCounted) {
    const isSettled = sampledMs >= state.requestsWithoutSlotSinceMs + REQUEST_SETTLE_MS;
    return isSettled
      ? { ...state, requestsWithoutSlot: Math.min(state.requestsWithoutSlot, requests) }
      : state;
  }
  const fromMs = Math.max(state.grantFromMs, notWarmSinceMs + COLD_DETECTION_MS);
  if (sampledMs < fromMs + REQUEST_SETTLE_MS) return { ...state, notWarmSinceMs };
  return {
    ...state,
    notWarmSinceMs,
    isCounted: true,
    requestsWithoutSlot: requests,
    requestsWithoutSlotSinceMs: sampledMs,
  };
}

function applyStatus(state: TargetSlots, event: StatusEvent): TargetSlots {
  const { isWarm, sampledMs, coldLimit } = event;
  if (isWarm) {
    return applyWarmState(state, { kind: SlotEventKind.WarmState, isWarm, nowMs: sampledMs });
  }
  return applyRequestCount({ ...expireSlots(state, sampledMs), coldLimit }, event);
}

function applySlotRequest(before: TargetSlots, event: SlotRequestEvent): TargetSlots {
  const { nowMs, daemon, renew, release, want } = event;
  const state = expireSlots(before, nowMs);
  const expiresMs = Math.min(nowMs + SLOT_LIFETIME_MS, state.leaseEndMs);
  const kept = state.slots
    .filter((slot) => slot.daemon !== daemon || !release.includes(slot.id))
    .map((slot) =>
      slot.daemon === daemon && renew.includes(slot.id) ? { ...slot, expiresMs } : slot,
    );
  const free = countFreeSlots({ ...state, slots: kept });
  const count = expiresMs > nowMs ? Math.min(want, free) : 0;
  const granted = Array.from({ length: count }, (_, index) => ({
    id: `${state.epoch}-${state.nextSlotNumber + index}`,
    daemon,
    expiresMs,
  }));
  return { ...state, slots: [...kept, ...granted], nextSlotNumber: state.nextSlotNumber + count };
}

/** Returns the state of a target after an event. */
export function applySlotEvent(state: TargetSlots, event: SlotEvent): TargetSlots {
  switch (event.kind) {
    case SlotEventKind.Lease:
      return applyLease(state, event);
    case SlotEventKind.WarmState:
      return applyWarmState(state, event);
    case SlotEventKind.Status:
      return applyStatus(state, event);
    case SlotEventKind.Idle:
      return { ...state, isCounted: false };
    case SlotEventKind.SlotRequest:
      return applySlotRequest(state, event);
    default:
      return expireSlots(state, event.nowMs);
  }
}
