import { create } from '@bufbuild/protobuf';
import type { DocumentStore } from '../documents/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { QueryStatus, TargetHealth } from '../probing/index.ts';
import type {
  GrantSlotsRequest,
  GrantSlotsResponse,
  HeldLease,
  SlotGrant,
  SlotRequest,
} from '../rpc/index.ts';
import { GrantSlotsResponseSchema, SlotGrantSchema, TargetState } from '../rpc/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { applySlotEvent, buildTargetSlots, listDaemonSlots } from './apply-slot-event.ts';
import { GRANTER_IDLE_MS, GRANTER_QUERY_MS, SLOT_LIFETIME_MS } from './consts.ts';
import { createPauseDetector } from './pause-detector.ts';
import { findSlotPlace } from './slot-domains.ts';
import type { SlotPlace } from './slot-domains.ts';
import { SlotEventKind } from './slot-state.ts';
import type { SlotEvent, TargetSlots } from './slot-state.ts';

/** Options of `createGranter`. */
export interface GranterOptions {
  timers: TimerService;
  documents: DocumentStore;
  health: Pick<TargetHealth, 'getReport' | 'subscribe'>;
  queryStatus: QueryStatus;
  recorder: EventRecorder;
}

/** Grants slots for the cold targets of the fabric domains whose leases are held on this VM. */
export interface Granter {
  /** Applies the leases of a `ReportLeases` call; domains that it omits are no longer served. */
  handleLeases(leases: readonly HeldLease[]): void;
  /** Handles a `GrantSlots` call. */
  grantSlots(request: GrantSlotsRequest): GrantSlotsResponse;
  listTargets(): TargetSlots[];
  start(): void;
  stop(): void;
}

interface DomainLease {
  epoch: number;
  leaseEndMs: number;
  grantFromMs: number;
}

interface TargetTask {
  state: TargetSlots;
  fabricDomain: string;
  askedMs: number;
  isWaiting: boolean;
}

/** Creates the granter, which uses only leases that the controller on the same VM reported. */
export function createGranter(options: GranterOptions): Granter {
  const { timers, documents, health, recorder } = options;
  const domains = new Map<string, DomainLease>();
  const tasks = new Map<string, TargetTask>();
  /** Time since which a VM is not warm according to the reports of the probers. */
  const notWarmSince = new Map<string, number>();
  const pauses = createPauseDetector(timers);
  let subscriptions: Unsubscribe[] = [];

  const applyEvent = (task: TargetTask, event: SlotEvent): void => {
    const before = task.state;
    task.state = applySlotEvent(before, event);
    const { vm, isCounted, uncovered } = task.state;
    if (isCounted && !before.isCounted) {
      recorder.record('granter', 'target-counted', { vm, uncovered });
    }
    const added = uncovered - before.uncovered;
    if (before.isCounted && added > 0) {
      recorder.record('granter', 'slot-expired', { vm, uncovered });
    }
  };

  const removeDomain = (fabricDomain: string): void => {
    if (!domains.delete(fabricDomain)) return;
    recorder.record('granter', 'domain-stopped', { fabricDomain });
    [...tasks.entries()]
      .filter(([, task]) => task.fabricDomain === fabricDomain)
      .forEach(([vm]) => tasks.delete(vm));
  };

  const addLease = (lease: HeldLease): void => {
    const nowMs = timers.getMonotonicMs();
    const { fabricDomain, validMs, grantDelayMs } = lease;
    const epoch = Number(lease.epoch);
    const leaseEndMs = nowMs + validMs;
    const before = domains.get(fabricDomain);
    if (before?.epoch !== epoch) {
      recorder.record('granter', 'domain-started', { fabricDomain, epoch, grantDelayMs });
    }
    // Before a restart, this daemon may have granted slots under the same lease.
    const startMs = nowMs + Math.max(grantDelayMs, SLOT_LIFETIME_MS);
    const grantFromMs = before?.epoch === epoch ? before.grantFromMs : startMs;
    domains.set(fabricDomain, { epoch, leaseEndMs, grantFromMs });
    tasks.forEach((task) => {
      if (task.fabricDomain !== fabricDomain) return;
      applyEvent(task, { kind: SlotEventKind.Lease, epoch, leaseEndMs, grantFromMs });
    });
  };

  const findLease = (fabricDomain: string): DomainLease | undefined => {
    const lease = domains.get(fabricDomain);
    return lease !== undefined && lease.leaseEndMs > timers.getMonotonicMs() ? lease : undefined;
  };

  const queryTarget = async (task: TargetTask, { place }: SlotPlace): Promise<void> => {
    if (task.isWaiting) return;
    task.isWaiting = true;
    const sentMs = timers.getMonotonicMs();
    try {
      const { warm, load } = await options.queryStatus(place);
      applyEvent(task, {
        kind: SlotEventKind.Status,
        sampledMs: sentMs - load.ageMs,
        isWarm: warm,
        requests: load.running + load.queued,
        coldLimit: load.coldLimit,
      });
    } catch {
      // Without a response the number of requests is unknown, so no more slots are granted.
    }
    task.isWaiting = false;
  };

  const startTask = (vm: string, slotPlace: SlotPlace, lease: DomainLease): TargetTask => {
    const { fabricDomain } = slotPlace;
    const state = { ...buildTargetSlots(vm), notWarmSinceMs: notWarmSince.get(vm) };
    const task: TargetTask = {
      state: applySlotEvent(state, { kind: SlotEventKind.Lease, ...lease }),
      fabricDomain,
      askedMs: timers.getMonotonicMs(),
      isWaiting: false,
    };
    tasks.set(vm, task);
    void queryTarget(task, slotPlace);
    return task;
  };

  const handleRequest = (daemon: string, request: SlotRequest): SlotGrant => {
    const { vm, renew, release, want } = request;
    const slotPlace = findSlotPlace(documents, vm);
    const lease = slotPlace === undefined ? undefined : findLease(slotPlace.fabricDomain);
    if (slotPlace === undefined || lease === undefined || pauses.isPausedRecently()) {
      return create(SlotGrantSchema, { vm, granter: false });
    }
    const nowMs = timers.getMonotonicMs();
    const task = tasks.get(vm) ?? startTask(vm, slotPlace, lease);
    task.askedMs = nowMs;
    const before = task.state.nextSlot;
    applyEvent(task, { kind: SlotEventKind.Ask, nowMs, daemon, renew, release, want });
    const granted = task.state.nextSlot - before;
    if (granted > 0) recorder.record('granter', 'slots-granted', { vm, daemon, granted });
    const slots = listDaemonSlots(task.state, daemon);
    // The earliest expiry, because a lost response may have left older slots with this daemon.
    const endMs = Math.min(...slots.map(({ expiresMs }) => expiresMs));
    return create(SlotGrantSchema, {
      vm,
      slots: slots.map(({ id }) => id),
      lifetimeMs: slots.length === 0 ? 0 : Math.max(0, Math.floor(endMs - nowMs)),
      granter: true,
    });
  };

  const handleWarmth = (vm: string): void => {
    const nowMs = timers.getMonotonicMs();
    const state = health.getReport(vm)?.state;
    const isUnknown = state === undefined || state === TargetState.UNREACHABLE;
    const isWarm = state === TargetState.WARM;
    // In an unknown state, other daemons may still reach the target and treat it as warm.
    if (isUnknown || isWarm) notWarmSince.delete(vm);
    else if (!notWarmSince.has(vm)) notWarmSince.set(vm, nowMs);
    if (isUnknown) return;
    const task = tasks.get(vm);
    if (task !== undefined) applyEvent(task, { kind: SlotEventKind.Warmth, nowMs, isWarm });
  };

  const runTask = (vm: string, task: TargetTask): void => {
    const nowMs = timers.getMonotonicMs();
    const slotPlace = findSlotPlace(documents, vm);
    applyEvent(task, { kind: SlotEventKind.Tick, nowMs });
    if (slotPlace === undefined) tasks.delete(vm);
    else if (nowMs - task.askedMs < GRANTER_IDLE_MS) void queryTarget(task, slotPlace);
    else applyEvent(task, { kind: SlotEventKind.Idle });
  };

  return {
    handleLeases(leases) {
      // A report that was buffered during a pause could extend a lease that has already expired.
      if (pauses.isPausedRecently()) return;
      const names = new Set(leases.map(({ fabricDomain }) => fabricDomain));
      [...domains.keys()].filter((name) => !names.has(name)).forEach(removeDomain);
      leases.forEach(addLease);
    },
    grantSlots: ({ daemon, requests }) =>
      create(GrantSlotsResponseSchema, {
        grants: requests.map((request) => handleRequest(daemon, request)),
      }),
    listTargets: () => [...tasks.values()].map(({ state }) => state),
    start() {
      subscriptions = [
        timers.subscribe(GRANTER_QUERY_MS, () => {
          [...tasks.entries()].forEach(([vm, task]) => runTask(vm, task));
        }),
        health.subscribe(handleWarmth),
      ];
    },
    stop() {
      subscriptions.forEach((cancel) => cancel());
      pauses.stop();
    },
  };
}
