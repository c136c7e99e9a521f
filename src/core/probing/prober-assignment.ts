import type { MembershipView } from '../membership/index.ts';
import { selectByRendezvous } from '../rendezvous/index.ts';
import { PROBERS_PER_TARGET } from './consts.ts';

/** Candidates cached for each target, so that the loss of one needs no rehashing. */
const CACHED_CANDIDATES = 4;

/** Assigns to each target the daemons that probe it. */
export interface ProberAssignment {
  listProbers(vm: string): string[];
  /** Removes the cached candidates of targets that no longer exist, keeping those of `vms`. */
  retainTargets(vms: ReadonlySet<string>): void;
  close(): void;
}

/**
 * Creates the prober assignment. Rehashing 600 targets over 410 daemons takes long enough to delay
 * tokens, so a membership change compares the changed member only with the cached candidates.
 */
export function createProberAssignment(membership: MembershipView): ProberAssignment {
  const live = new Set(membership.listLiveMembers().map(({ name }) => name));
  /** First candidates of each target in rendezvous order, by VM. */
  const candidates = new Map<string, string[]>();

  const addMember = (name: string): void => {
    live.add(name);
    candidates.forEach((cached, vm) => {
      // The candidates that follow the cached ones are unknown, unless all members are cached.
      const isComplete = cached.length === live.size - 1;
      const depth = Math.min(CACHED_CANDIDATES, isComplete ? cached.length + 1 : cached.length);
      candidates.set(vm, selectByRendezvous(vm, [...cached, name], depth));
    });
  };

  const removeMember = (name: string): void => {
    live.delete(name);
    candidates.forEach((cached, vm) => {
      if (cached.includes(name))
        candidates.set(
          vm,
          cached.filter((candidate) => candidate !== name),
        );
    });
  };

  const updateMembers = (): void => {
    const names = new Set(membership.listLiveMembers().map(({ name }) => name));
    [...live].filter((name) => !names.has(name)).forEach(removeMember);
    [...names].filter((name) => !live.has(name)).forEach(addMember);
  };

  const cancel = membership.subscribe(updateMembers);

  return {
    listProbers(vm) {
      const cached = candidates.get(vm);
      const needed = Math.min(PROBERS_PER_TARGET, live.size);
      if (cached !== undefined && cached.length >= needed)
        return cached.slice(0, PROBERS_PER_TARGET);
      const selected = selectByRendezvous(vm, [...live], CACHED_CANDIDATES);
      candidates.set(vm, selected);
      return selected.slice(0, PROBERS_PER_TARGET);
    },
    retainTargets(vms) {
      [...candidates.keys()].filter((vm) => !vms.has(vm)).forEach((vm) => candidates.delete(vm));
    },
    close: cancel,
  };
}
