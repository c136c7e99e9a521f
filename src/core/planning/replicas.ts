import type { Configuration, ServingGroup } from '../declarations/index.ts';

/** A replica that the configuration declares for a fabric domain. */
export interface DeclaredReplica {
  /** Name of the group. */
  name: string;
  servingGroup: string;
  number: number;
  model: string;
  modelVersion: string;
  /** Number of members. */
  size: number;
  /** Served weight that the replica adds while it serves. */
  weight: number;
}

/** Returns the name of a replica, which is also the name of its group. */
export function formatReplicaName(servingGroup: string, number: number): string {
  return `${servingGroup}-${number}`;
}

/** Sums the weight of a serving group over all routes; a route without a weight row counts as 1. */
export function computeServedWeight(configuration: Configuration, servingGroup: string): number {
  return configuration.routes
    .filter((route) => route.servingGroups.includes(servingGroup))
    .reduce((sum, route) => {
      const row = configuration.weights.find(
        (candidate) =>
          candidate.customer === route.customer &&
          candidate.route === route.name &&
          candidate.servingGroup === servingGroup,
      );
      return sum + (row?.weight ?? 1);
    }, 0);
}

function listReplicas(configuration: Configuration, group: ServingGroup): DeclaredReplica[] {
  const weight = computeServedWeight(configuration, group.name) / Math.max(1, group.replicas);
  return Array.from({ length: group.replicas }, (_, number) => ({
    name: formatReplicaName(group.name, number),
    servingGroup: group.name,
    number,
    model: group.model,
    modelVersion: group.modelVersion,
    size: group.members,
    weight,
  }));
}

/** Returns the declared replicas that a fabric domain may hold, by name. */
export function listDeclaredReplicas(
  configuration: Configuration,
  fabricDomain: string,
): Map<string, DeclaredReplica> {
  const replicas = configuration.servingGroups
    .filter(
      ({ fabricDomains }) => fabricDomains.length === 0 || fabricDomains.includes(fabricDomain),
    )
    .flatMap((group) => listReplicas(configuration, group));
  return new Map(replicas.map((replica) => [replica.name, replica]));
}
