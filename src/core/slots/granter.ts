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
import { findSlotTarget } from './slot-domains.ts';
import type { SlotTarget } from './slot-domains.ts';
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

interface TargetEntry {
  state: TargetSlots;
  fabricDomain: string;
  lastRequestMs: number;
  isQuerying: boolean;
}

/** Creates the granter, which uses only leases that the controller on the same VM reported. */
export function createGranter(options: GranterOptions): Granter {
  const { timers, documents, health, recorder } = options;
  const domains = new Map<string, DomainLease>();
  const targets = new Map<string, TargetEntry>();
  /** Time since which a VM is not warm according to the reports of the probers. */
  const notWarmSince = new Map<string, number>();
  const pauseDetector = createPauseDetector(timers);
  let subscriptions: Unsubscribe[] = [];

  const applyEvent = (entry: TargetEntry, event: SlotEvent): void => {
    const before = entry.state;
    entry.state = applySlotEvent(before, event);
    const { vm, isCounted, requestsWithoutSlot } = entry.state;
    if (isCounted && !before.isCounted) {
      recorder.record('granter', 'target-counted', { vm, uncovered: requestsWithoutSlot });
    }
    const added = requestsWithoutSlot - before.requestsWithoutSlot;
    if (before.isCounted && added > 0) {
      recorder.record('granter', 'slot-expired', { vm, uncovered: requestsWithoutSlot });
    }
  };

  const removeDomain = (fabricDomain: string): void => {
    if (!domains.delete(fabricDomain)) return;
    recorder.record('granter', 'domain-stopped', { fabricDomain });
    [...targets.entries()]
      .filter(([, entry]) => entry.fabricDomain === fabricDomain)
      .forEach(([vm]) => targets.delete(vm));
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
    targets.forEach((entry) => {
      if (entry.fabricDomain !== fabricDomain) return;
      applyEvent(entry, { kind: SlotEventKind.Lease, epoch, leaseEndMs, grantFromMs });
    });
  };

  const findLease = (fabricDomain: string): DomainLease | undefined => {
    const lease = domains.get(fabricDomain);
    return lease !== undefined && lease.leaseEndMs > timers.getMonotonicMs() ? lease : undefined;
  };

  const queryTarget = async (entry: TargetEntry, { location }: SlotTarget): Promise<void> => {
    if (entry.isQuerying) return;
    entry.isQuerying = true;
    const sentMs = timers.getMonotonicMs();
    try {
      const { warm, load } = await options.queryStatus(location);
      applyEvent(entry, {
        kind: SlotEventKind.Status,
        sampledMs: sentMs - load.ageMs,
        isWarm: warm,
        requests: load.running + load.queued,
        coldLimit: load.coldLimit,
      });
    } catch {
      // Without a response the number of requests is unknown, so no more slots are granted.
    }
    entry.isQuerying = false;
  };

  const addTarget = (vm: string, slotTarget: SlotTarget, lease: DomainLease): TargetEntry => {
    const { fabricDomain } = slotTarget;
    const state = { ...buildTargetSlots(vm), notWarmSinceMs: notWarmSince.get(vm) };
    const entry: TargetEntry = {
      state: applySlotEvent(state, { kind: SlotEventKind.Lease, ...lease }),
      fabricDomain,
      lastRequestMs: timers.getMonotonicMs(),
      isQuerying: false,
    };
    targets.set(vm, entry);
    void queryTarget(entry, slotTarget);
    return entry;
  };

  const handleRequest = (daemon: string, request: SlotRequest): SlotGrant => {
    const { vm, renew, release, want } = request;
    const slotTarget = findSlotTarget(documents, vm);
    const lease = slotTarget === undefined ? undefined : findLease(slotTarget.fabricDomain);
    if (slotTarget === undefined || lease === undefined || pauseDetector.wasPausedRecently()) {
      return create(SlotGrantSchema, { vm, granter: false });
    }
    const nowMs = timers.getMonotonicMs();
    const entry = targets.get(vm) ?? addTarget(vm, slotTarget, lease);
    entry.lastRequestMs = nowMs;
    const before = entry.state.nextSlotNumber;
    applyEvent(entry, { kind: SlotEventKind.SlotRequest, nowMs, daemon, renew, release, want });
    const granted = entry.state.nextSlotNumber - before;
    if (granted > 0) recorder.record('granter', 'slots-granted', { vm, daemon, granted });
    const slots = listDaemonSlots(entry.state, daemon);
    // The earliest expiry, because a lost response may have left older slots with this daemon.
    const endMs = Math.min(...slots.map(({ expiresMs }) => expiresMs));
    return create(SlotGrantSchema, {
      vm,
      slots: slots.map(({ id }) => id),
      lifetimeMs: slots.length === 0 ? 0 : Math.max(0, Math.floor(endMs - nowMs)),
      granter: true,
    });
  };

  const handleHealthChange = (vm: string): void => {
    const nowMs = timers.getMonotonicMs();
    const state = health.getReport(vm)?.state;
    const isUnknown = state === undefined || state === TargetState.UNREACHABLE;
    const isWarm = state === TargetState.WARM;
    // In an unknown state, other daemons may still reach the target and treat it as warm.
    if (isUnknown || isWarm) notWarmSince.delete(vm);
    else if (!notWarmSince.has(vm)) notWarmSince.set(vm, nowMs);
    if (isUnknown) return;
    const entry = targets.get(vm);
    if (entry !== undefined) applyEvent(entry, { kind: SlotEventKind.WarmState, nowMs, isWarm });
  };

  const refreshTarget = (vm: string, entry: TargetEntry): void => {
    const nowMs = timers.getMonotonicMs();
    const slotTarget = findSlotTarget(documents, vm);
    applyEvent(entry, { kind: SlotEventKind.Tick, nowMs });
    if (slotTarget === undefined) targets.delete(vm);
    else if (nowMs - entry.lastRequestMs < GRANTER_IDLE_MS) void queryTarget(entry, slotTarget);
    else applyEvent(entry, { kind: SlotEventKind.Idle });
  };

  return {
    handleLeases(leases) {
      // A report that was buffered during a pause could extend a lease that has already expired.
      if (pauseDetector.wasPausedRecently()) return;
      const names = new Set(leases.map(({ fabricDomain }) => fabricDomain));
      [...domains.keys()].filter((name) => !names.has(name)).forEach(removeDomain);
      leases.forEach(addLease);
    },
    grantSlots: ({ daemon, requests }) =>
      create(GrantSlotsResponseSchema, {
        grants: requests.map((request) => handleRequest(daemon, request)),
      }),
    listTargets: () => [...targets.values()].map(({ state }) => state),
    start() {
      subscriptions = [
        timers.subscribe(GRANTER_QUERY_MS, () => {
          [...targets.entries()].forEach(([vm, entry]) => refreshTarget(vm, entry));
        }),
        health.subscribe(handleHealthChange),
      ];
    },
    stop() {
      subscriptions.forEach((cancel) => cancel());
      pauseDetector.stop();
    },
  };
}
