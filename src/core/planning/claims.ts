import type { Vm } from '../world/index.ts';
import { VmState } from '../world/index.ts';
import { computeRendezvousOrder } from '../rendezvous/index.ts';
import type { ServingGroup } from '../declarations/index.ts';
import { listEngines } from './members.ts';
import type { DeclaredReplica } from './replicas.ts';
import type { PlanningWorld } from './types.ts';

/** Domains further back in the order of a replica all wait as long as this place. */
const LAST_CLAIM_RANK = 5;

function listDomainsWithRoom(group: ServingGroup, vms: readonly Vm[]): string[] {
  const names = [...new Set(vms.map(({ fabricDomain }) => fabricDomain))].sort();
  return names.filter((name) => {
    const isAllowed = group.fabricDomains.length === 0 || group.fabricDomains.includes(name);
    const live = listEngines(vms, name).filter(({ state }) => state === VmState.Live);
    return isAllowed && live.length >= group.members;
  });
}

/** Returns the place of a domain among the domains that could hold a replica. */
export function computeClaimRank(
  replica: string,
  group: ServingGroup,
  vms: readonly Vm[],
  fabricDomain: string,
): number {
  const order = computeRendezvousOrder(replica, listDomainsWithRoom(group, vms));
  const rank = order.indexOf(fabricDomain);
  return rank < 0 ? LAST_CLAIM_RANK : Math.min(rank, LAST_CLAIM_RANK);
}

/**
 * Tells whether this domain may claim a replica that has no home. Domains wait by their place in
 * the rendezvous order of the replica, so that two rarely claim at once; the conditional write of
 * the home decides between them.
 */
export function isClaimable(replica: DeclaredReplica, world: PlanningWorld): boolean {
  const sinceMs = world.unplacedSinceMs.get(replica.name);
  if (world.replicaHomes.has(replica.name) || sinceMs === undefined) return false;
  const group = world.configuration.servingGroups.find(({ name }) => name === replica.servingGroup);
  if (group === undefined) return false;
  const rank = computeClaimRank(replica.name, group, world.vms, world.allocation.fabricDomain);
  return world.nowMs - sinceMs >= rank * world.limits.claimStepMs;
}
