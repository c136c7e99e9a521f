import { REPLICA_HOME_KIND, VM_HOME_KIND } from '../allocation/index.ts';
import type { Home } from '../allocation/index.ts';
import { CONFIG_KIND, configurationSchema } from '../declarations/index.ts';
import type { Configuration } from '../declarations/index.ts';
import { formatProblem } from '../errors/index.ts';
import { formatReplicaName } from '../planning/index.ts';
import type { PlatformChange } from '../object-api/index.ts';
import type { Vm } from '../domain-types/index.ts';
import { VmRole } from '../domain-types/index.ts';
import type { HomeCache } from './home-cache.ts';
import { createHomeCache } from './home-cache.ts';
import { createKindReader } from './kind-reader.ts';
import type { ControllerContext } from './types.ts';

/** Platform state that all domains of a controller plan from; kept while the platform is down. */
export interface ClusterCache {
  /** Reads what is due; `isHolding` selects the shorter read intervals of a lease holder. */
  read(isHolding: boolean): Promise<void>;
  getConfiguration(): Configuration | undefined;
  listVms(): readonly Vm[];
  vmHomes: HomeCache;
  replicaHomes: HomeCache;
  /** Returns when this process first saw a declared replica without a home, by group. */
  listUnplacedSinceMs(): ReadonlyMap<string, number>;
  /** Returns the fabric domains with engines, replicas or plain services. */
  listDomains(): string[];
  /** Returns whether the VM list and all object kinds have been read once. */
  isComplete(): boolean;
}

function applyHomeChange(homeCache: HomeCache, change: PlatformChange): void {
  if (change.deleted) homeCache.applyDeleted(change.name, change.version);
  else homeCache.applyHome(change.name, change.value as Home, change.version);
}

/** Returns a function that runs a read at most once per period. */
function createPeriodicRead(
  context: ControllerContext,
  read: () => Promise<void>,
): (periodMs: number) => Promise<void> {
  let lastMs = Number.NEGATIVE_INFINITY;
  return async (periodMs) => {
    const nowMs = context.timers.getMonotonicMs();
    if (nowMs - lastMs < periodMs) return;
    lastMs = nowMs;
    await read();
  };
}

/** Creates the cluster cache of a controller. */
export function createClusterCache(context: ControllerContext): ClusterCache {
  const { platform, settings, timers, logger } = context;
  const vmHomes = createHomeCache();
  const replicaHomes = createHomeCache();
  const unplacedSinceMs = new Map<string, number>();
  let configuration: Configuration | undefined;
  let vms: readonly Vm[] | undefined;

  const applyConfiguration = (change: PlatformChange): void => {
    if (change.deleted) return;
    const result = configurationSchema.safeParse(change.value);
    if (result.success) configuration = result.data;
    else logger.error('ignored an invalid configuration', { version: change.version });
  };

  const configReader = createKindReader(platform, CONFIG_KIND, applyConfiguration);
  const replicaReader = createKindReader(platform, REPLICA_HOME_KIND, (change) =>
    applyHomeChange(replicaHomes, change),
  );
  const vmHomeReader = createKindReader(platform, VM_HOME_KIND, (change) =>
    applyHomeChange(vmHomes, change),
  );

  const updateUnplaced = (): void => {
    const unplaced = (configuration?.servingGroups ?? [])
      .flatMap(({ name, replicas }) =>
        Array.from({ length: replicas }, (_, number) => formatReplicaName(name, number)),
      )
      .filter((name) => replicaHomes.get(name) === undefined);
    const names = new Set(unplaced);
    [...unplacedSinceMs.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => unplacedSinceMs.delete(name));
    unplaced
      .filter((name) => !unplacedSinceMs.has(name))
      .forEach((name) => unplacedSinceMs.set(name, timers.getMonotonicMs()));
  };

  const readObjects = createPeriodicRead(context, async () => {
    await configReader.read();
    await replicaReader.read();
    await vmHomeReader.read();
    updateUnplaced();
  });
  const readVms = createPeriodicRead(context, async () => {
    vms = await platform.fetchVms();
  });

  return {
    async read(isHolding) {
      const { holderMs, idleMs, vmListMs, idleVmListMs } = settings.reading;
      try {
        await readVms(isHolding ? vmListMs : idleVmListMs);
        await readObjects(isHolding ? holderMs : idleMs);
      } catch (error) {
        logger.warn('reading the VM list or platform objects failed', {
          problem: formatProblem(error),
        });
      }
    },
    getConfiguration: () => configuration,
    listVms: () => vms ?? [],
    vmHomes,
    replicaHomes,
    listUnplacedSinceMs: () => unplacedSinceMs,
    listDomains() {
      const engines = (vms ?? []).filter(({ role }) => role === VmRole.Engine);
      const homes = [...replicaHomes.listHomes().values()];
      const services = configuration?.services ?? [];
      const names = [...engines, ...homes, ...services].map(({ fabricDomain }) => fabricDomain);
      return [...new Set(names)].sort();
    },
    isComplete: () =>
      vms !== undefined &&
      [configReader, replicaReader, vmHomeReader].every((reader) => reader.isComplete()),
  };
}
