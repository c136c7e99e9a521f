import type { Vm } from '../domain-types/index.ts';
import { VmState } from '../domain-types/index.ts';
import { computeRendezvousOrder } from '../rendezvous/index.ts';
import type { ServingGroup } from '../declarations/index.ts';
import { listEngines } from './members.ts';
import type { DeclaredReplica } from './replicas.ts';
import type { PlanningInput } from './types.ts';

/** Domains with a higher rank in the rendezvous order of a replica wait as long as this rank. */
const MAX_CLAIM_RANK = 5;

function listDomainsWithCapacity(group: ServingGroup, vms: readonly Vm[]): string[] {
  const names = [...new Set(vms.map(({ fabricDomain }) => fabricDomain))].sort();
  return names.filter((name) => {
    const isAllowed = group.fabricDomains.length === 0 || group.fabricDomains.includes(name);
    const live = listEngines(vms, name).filter(({ state }) => state === VmState.Live);
    return isAllowed && live.length >= group.members;
  });
}

/** Returns the rendezvous rank of a domain among the domains with enough VMs for a replica. */
export function computeClaimRank(
  replica: string,
  group: ServingGroup,
  vms: readonly Vm[],
  fabricDomain: string,
): number {
  const order = computeRendezvousOrder(replica, listDomainsWithCapacity(group, vms));
  const rank = order.indexOf(fabricDomain);
  return rank < 0 ? MAX_CLAIM_RANK : Math.min(rank, MAX_CLAIM_RANK);
}

/**
 * Returns whether this domain may claim a replica that has no home. Each domain waits in proportion
 * to its rank in the rendezvous order of the replica, so that two rarely claim at the same time; if
 * they do, the conditional write of the home decides.
 */
export function isClaimable(replica: DeclaredReplica, input: PlanningInput): boolean {
  const sinceMs = input.unplacedSinceMs.get(replica.name);
  if (input.replicaHomes.has(replica.name) || sinceMs === undefined) return false;
  const group = input.configuration.servingGroups.find(({ name }) => name === replica.servingGroup);
  if (group === undefined) return false;
  const rank = computeClaimRank(replica.name, group, input.vms, input.allocation.fabricDomain);
  return input.nowMs - sinceMs >= rank * input.limits.claimStepMs;
}
