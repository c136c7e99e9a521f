import type { Allocation, GroupAllocation } from '../allocation/index.ts';
import { ALLOCATION_KIND, GroupState } from '../allocation/index.ts';
import type { PlanningInput, VmView } from '../planning/index.ts';
import { hasOutdatedGroup, listDeclaredReplicas } from '../planning/index.ts';
import type { OrderSender } from './order-sender.ts';
import type { ClusterCache } from './cluster-cache.ts';
import type { ControllerContext } from './types.ts';
import type { VmMonitor } from './vm-monitor.ts';

/** Builds the planning input of one domain during one lease term. */
export interface PlanningInputBuilder {
  /** Reads the groups of other domains while a version update is pending. */
  readPeerGroups(allocation: Allocation): Promise<void>;
  /** Returns the planning input, or undefined until everything has been read once. */
  buildInput(allocation: Allocation): PlanningInput | undefined;
}

/** Creates the planning input builder of one lease term. */
export function createPlanningInputBuilder(
  context: ControllerContext,
  clusterCache: ClusterCache,
  vmMonitor: VmMonitor,
  orders: OrderSender,
): PlanningInputBuilder {
  const { platform, settings, timers } = context;
  const drainingSinceMs = new Map<string, number>();
  let peerGroups: GroupAllocation[] | undefined;
  let peersReadMs = Number.NEGATIVE_INFINITY;

  const updateDraining = (groups: readonly GroupAllocation[]): void => {
    const draining = new Set(
      groups.filter(({ state }) => state === GroupState.Draining).map(({ name }) => name),
    );
    [...drainingSinceMs.keys()]
      .filter((name) => !draining.has(name))
      .forEach((name) => drainingSinceMs.delete(name));
    draining.forEach((name) => {
      if (!drainingSinceMs.has(name)) drainingSinceMs.set(name, timers.getMonotonicMs());
    });
  };

  const buildViews = (allocation: Allocation): Map<string, VmView> =>
    new Map(
      Object.keys(allocation.vms).map((vm) => [
        vm,
        { ...vmMonitor.getView(vm), order: orders.getOrder(vm) },
      ]),
    );

  return {
    async readPeerGroups({ fabricDomain, groups }) {
      const configuration = clusterCache.getConfiguration();
      if (configuration === undefined) return;
      if (!hasOutdatedGroup(groups, listDeclaredReplicas(configuration, fabricDomain))) {
        peerGroups = undefined;
        return;
      }
      const nowMs = timers.getMonotonicMs();
      if (nowMs - peersReadMs < settings.reading.peerGroupsMs) return;
      peersReadMs = nowMs;
      const objects = await platform.listObjects(ALLOCATION_KIND);
      peerGroups = objects
        .filter(({ name }) => name !== fabricDomain)
        .flatMap(({ value }) => (value as Allocation).groups);
    },
    buildInput(allocation) {
      const configuration = clusterCache.getConfiguration();
      if (configuration === undefined || !clusterCache.isComplete()) return undefined;
      updateDraining(allocation.groups);
      return {
        allocation,
        configuration,
        vms: clusterCache.listVms(),
        views: buildViews(allocation),
        vmHomes: clusterCache.vmHomes.listHomes(),
        replicaHomes: clusterCache.replicaHomes.listHomes(),
        peerGroups,
        nowMs: timers.getMonotonicMs(),
        unplacedSinceMs: clusterCache.listUnplacedSinceMs(),
        drainingSinceMs,
        memberBytes: new Map(Object.entries(settings.planning.memberBytes)),
        limits: settings.planning,
      };
    },
  };
}
