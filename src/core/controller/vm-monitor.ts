import type { VmView } from '../planning/index.ts';
import { VmHealth } from '../planning/index.ts';
import type { TargetStatus } from '../domain-types/index.ts';
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

interface MonitoredVm {
  isQuerying: boolean;
  lastQueryMs: number;
  failures: number;
  health: VmHealth;
  status: TargetStatus | undefined;
  querySequence: number;
  queriedMs: number;
}

/** Queries the status of the VMs of one domain during one lease term. */
export interface VmMonitor {
  /** Sends the queries that are due and drops VMs that are not among the targets. */
  queryVms(targets: readonly EngineAddress[]): void;
  getView(vm: string): Omit<VmView, 'order'>;
}

function createMonitoredVm(): MonitoredVm {
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
export function createVmMonitor(
  context: ControllerContext,
  fabricDomain: string,
  counter: SequenceCounter,
): VmMonitor {
  const { engines, recorder, settings, timers } = context;
  const monitoredVms = new Map<string, MonitoredVm>();

  const setHealth = (vm: string, entry: MonitoredVm, health: VmHealth): void => {
    if (entry.health === health) return;
    const wasLost = entry.health === VmHealth.Lost;
    entry.health = health;
    if (health === VmHealth.Lost) recorder.record('controller', 'vm-lost', { fabricDomain, vm });
    else if (wasLost) recorder.record('controller', 'vm-reachable', { fabricDomain, vm });
  };

  const applyAnswer = (
    vm: string,
    entry: MonitoredVm,
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
  const applyFailure = (vm: string, entry: MonitoredVm): void => {
    entry.failures += 1;
    if (entry.failures >= settings.status.failuresUntilLost) setHealth(vm, entry, VmHealth.Lost);
  };

  const queryVm = (target: EngineAddress, entry: MonitoredVm): void => {
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

  const getEntry = (vm: string): MonitoredVm => {
    const known = monitoredVms.get(vm);
    if (known !== undefined) return known;
    const created = createMonitoredVm();
    monitoredVms.set(vm, created);
    return created;
  };

  return {
    queryVms(targets) {
      const names = new Set(targets.map(({ vm }) => vm));
      [...monitoredVms.keys()]
        .filter((vm) => !names.has(vm))
        .forEach((vm) => monitoredVms.delete(vm));
      const nowMs = timers.getMonotonicMs();
      targets.forEach((target) => {
        const entry = getEntry(target.vm);
        const isDue = nowMs - entry.lastQueryMs >= settings.status.queryMs;
        if (isDue && !entry.isQuerying) queryVm(target, entry);
      });
    },
    getView(vm) {
      const { health, status, querySequence, queriedMs } =
        monitoredVms.get(vm) ?? createMonitoredVm();
      return { health, status, querySequence, queriedMs };
    },
  };
}
