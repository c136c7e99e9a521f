import type { VmView } from '../planning/index.ts';
import { VmHealth } from '../planning/index.ts';
import type { TargetStatus } from '../world/index.ts';
import type { ControllerContext, EngineAddress } from './types.ts';

/** Numbers the orders and queries of one domain, so that they are ordered without a clock. */
export interface SequenceCounter {
  takeNext(): number;
}

/** Creates a counter that starts at 1. */
export function createSequenceCounter(): SequenceCounter {
  let last = 0;
  return {
    takeNext() {
      last += 1;
      return last;
    },
  };
}

interface WatchedVm {
  isQuerying: boolean;
  lastQueryMs: number;
  failures: number;
  health: VmHealth;
  status: TargetStatus | undefined;
  querySequence: number;
  queriedMs: number;
}

/** Queries the status of the VMs of one domain during one lease term. */
export interface VmWatch {
  /** Sends the queries that are due and drops VMs that are not among the targets. */
  queryVms(targets: readonly EngineAddress[]): void;
  getView(vm: string): Omit<VmView, 'order'>;
}

function createWatchedVm(): WatchedVm {
  return {
    isQuerying: false,
    lastQueryMs: Number.NEGATIVE_INFINITY,
    failures: 0,
    health: VmHealth.Unknown,
    status: undefined,
    querySequence: 0,
    queriedMs: 0,
  };
}

/** Creates the VM monitor of one domain. */
export function createVmWatch(
  context: ControllerContext,
  fabricDomain: string,
  counter: SequenceCounter,
): VmWatch {
  const { engines, recorder, settings, timers } = context;
  const watched = new Map<string, WatchedVm>();

  const setHealth = (vm: string, entry: WatchedVm, health: VmHealth): void => {
    if (entry.health === health) return;
    const wasLost = entry.health === VmHealth.Lost;
    entry.health = health;
    if (health === VmHealth.Lost) recorder.record('controller', 'vm-lost', { fabricDomain, vm });
    else if (wasLost) recorder.record('controller', 'vm-reachable', { fabricDomain, vm });
  };

  const applyAnswer = (
    vm: string,
    entry: WatchedVm,
    status: TargetStatus,
    sequence: number,
  ): void => {
    entry.failures = 0;
    entry.status = status;
    entry.querySequence = sequence;
    entry.queriedMs = entry.lastQueryMs;
    setHealth(vm, entry, VmHealth.Reachable);
  };

  // Failures are counted rather than timed: after a pause of this process, the time since the last
  // answer is long for every VM.
  const applyFailure = (vm: string, entry: WatchedVm): void => {
    entry.failures += 1;
    if (entry.failures >= settings.status.failuresUntilLost) setHealth(vm, entry, VmHealth.Lost);
  };

  const queryVm = (target: EngineAddress, entry: WatchedVm): void => {
    entry.isQuerying = true;
    entry.lastQueryMs = timers.getMonotonicMs();
    const sequence = counter.takeNext();
    engines
      .fetchStatus(target)
      .then((status) => applyAnswer(target.vm, entry, status, sequence))
      .catch(() => applyFailure(target.vm, entry))
      .finally(() => {
        entry.isQuerying = false;
      });
  };

  const getEntry = (vm: string): WatchedVm => {
    const known = watched.get(vm);
    if (known !== undefined) return known;
    const created = createWatchedVm();
    watched.set(vm, created);
    return created;
  };

  return {
    queryVms(targets) {
      const names = new Set(targets.map(({ vm }) => vm));
      [...watched.keys()].filter((vm) => !names.has(vm)).forEach((vm) => watched.delete(vm));
      const nowMs = timers.getMonotonicMs();
      targets.forEach((target) => {
        const entry = getEntry(target.vm);
        const isDue = nowMs - entry.lastQueryMs >= settings.status.queryMs;
        if (isDue && !entry.isQuerying) queryVm(target, entry);
      });
    },
    getView(vm) {
      const { health, status, querySequence, queriedMs } = watched.get(vm) ?? createWatchedVm();
      return { health, status, querySequence, queriedMs };
    },
  };
}
