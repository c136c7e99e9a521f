import type { TimerService } from '../../core/timers/index.ts';
import type { Vm } from '../../core/world/index.ts';

/** The VM list with its past states, so that callers can be given an old one. */
export interface VmList {
  /** Returns the list as it was `lagMs` ago. */
  listVms(lagMs: number): Vm[];
  /** Replaces the list. */
  setVms(vms: readonly Vm[]): void;
  /** Changes fields of one VM; returns false when there is no such VM. */
  updateVm(name: string, fields: Partial<Vm>): boolean;
  /** Removes a VM; returns false when there is no such VM. */
  removeVm(name: string): boolean;
}

/** Past states that are kept; older ones are no longer needed at any usual lag. */
const MAX_PAST_STATES = 1_000;

/** Creates a VM list that starts with the given VMs. */
export function createVmList(
  initial: readonly Vm[],
  timers: Pick<TimerService, 'getMonotonicMs'>,
): VmList {
  const states: { sinceMs: number; vms: readonly Vm[] }[] = [
    { sinceMs: Number.NEGATIVE_INFINITY, vms: initial },
  ];

  const getNewest = (): readonly Vm[] => states.at(-1)?.vms ?? [];

  const setVms = (vms: readonly Vm[]): void => {
    states.push({ sinceMs: timers.getMonotonicMs(), vms: [...vms] });
    if (states.length > MAX_PAST_STATES) states.shift();
  };

  const hasVm = (name: string): boolean => getNewest().some((vm) => vm.name === name);

  return {
    listVms(lagMs) {
      const timeMs = timers.getMonotonicMs() - lagMs;
      const state = states.findLast(({ sinceMs }) => sinceMs <= timeMs) ?? states[0];
      return [...(state?.vms ?? [])];
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
