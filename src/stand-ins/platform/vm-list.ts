import type { TimerService } from '../../core/timers/index.ts';
import type { Vm } from '../../core/domain-types/index.ts';

/** The VM list and its earlier snapshots, from which an outdated list can be returned. */
export interface VmList {
  /** Returns the list as it was `lagMs` milliseconds ago. */
  listVms(lagMs: number): Vm[];
  /** Replaces the list. */
  setVms(vms: readonly Vm[]): void;
  /** Updates fields of one VM; returns false if there is no such VM. */
  updateVm(name: string, fields: Partial<Vm>): boolean;
  /** Removes a VM; returns false if there is no such VM. */
  removeVm(name: string): boolean;
}

/** Number of snapshots kept; no usual `vmListLagMs` reaches back further. */
const MAX_SNAPSHOTS = 1_000;

/** Creates a VM list that starts with the given VMs. */
export function createVmList(
  initial: readonly Vm[],
  timers: Pick<TimerService, 'getMonotonicMs'>,
): VmList {
  const snapshots: { sinceMs: number; vms: readonly Vm[] }[] = [
    { sinceMs: Number.NEGATIVE_INFINITY, vms: initial },
  ];

  const getNewest = (): readonly Vm[] => snapshots.at(-1)?.vms ?? [];

  const setVms = (vms: readonly Vm[]): void => {
    snapshots.push({ sinceMs: timers.getMonotonicMs(), vms: [...vms] });
    if (snapshots.length > MAX_SNAPSHOTS) snapshots.shift();
  };

  const hasVm = (name: string): boolean => getNewest().some((vm) => vm.name === name);

  return {
    listVms(lagMs) {
      const timeMs = timers.getMonotonicMs() - lagMs;
      const snapshot = snapshots.findLast(({ sinceMs }) => sinceMs <= timeMs) ?? snapshots[0];
      return [...(snapshot?.vms ?? [])];
    },
    setVms,
    updateVm(name, fields) {
      if (!hasVm(name)) return false;
      setVms(getNewest().map((vm) => (vm.name === name ? { ...vm, ...fields, name } : vm)));
      return true;
    },
    removeVm(name) {
      if (!hasVm(name)) return false;
      setVms(getNewest().filter((vm) => vm.name !== name));
      return true;
    },
  };
}
