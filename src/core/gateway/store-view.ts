import type { FeedListener } from '../store-feed/index.ts';
import type { Fleet, Target } from '../fleet/index.ts';
import { createFleet } from '../fleet/index.ts';
import type { LogContext } from '../logs/index.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { StoreObject } from '../store/index.ts';
import type { Unsubscribe } from '../timers/index.ts';
import { createEvacuatedZones } from './evacuated-zones.ts';
import type { RoutingTable } from './routing-table.ts';
import { buildRoutingTable } from './routing-table.ts';
import type { GatewayDependencies } from './types.ts';

/** Local copy of the configuration, the evacuated zones and the targets in the store. */
export interface StoreView {
  fleet: Fleet;
  /** Routing table in force; undefined until a configuration has been read. */
  getRoutingTable(): RoutingTable | undefined;
  /** Whether the targets have been listed at least once. */
  hasListedTargets(): boolean;
  /**
   * Whether the entries of targets are their own latest ones. After a restoration of the store, they
   * are as old as its copy until the targets have written again.
   */
  areTargetsCurrent(): boolean;
  /** Whether operators have taken the availability zone out of service. */
  isZoneEvacuated(availabilityZone: string): boolean;
  /** Calls the listener with each configuration that comes into force, and now if one is in force. */
  onConfiguration(listener: (configuration: ServingConfiguration) => void): void;
  configurationListener: FeedListener;
  evacuationListener: FeedListener;
  targetListener: FeedListener;
}

/**
 * Entries that expired during an outage of the store, or that it has lost since its copy, are written
 * again about 2 s after it recovers if the target is alive; until then, a missing entry does not mean
 * that the target is gone.
 */
const EXPIRED_ENTRY_GRACE_MS = 2_200;

function buildTargetLogContext(target: Target): LogContext {
  return {
    target: target.id,
    service: target.service,
    address: target.address,
    zone: target.availabilityZone,
    domain: target.fabricDomain,
  };
}

/** Creates an empty view; the feeds update it through its listeners. */
export function createStoreView(
  dependencies: Pick<
    GatewayDependencies,
    'timers' | 'logger' | 'decodeConfiguration' | 'decodeTarget'
  >,
): StoreView {
  const { timers, logger, decodeConfiguration, decodeTarget } = dependencies;
  const fleet = createFleet();
  const evacuatedZones = createEvacuatedZones(timers, logger);
  let table: RoutingTable | undefined;
  let hasListedTargets = false;
  let handleConfiguration: (configuration: ServingConfiguration) => void = () => undefined;
  /** Targets whose entry is missing and that are kept until the grace period ends. */
  const expiredIds = new Set<string>();
  let isGracePeriod = false;
  let cancelGracePeriodEnd: Unsubscribe = () => undefined;
  /** Whether the entries are those of the copy that the store came back from. */
  let areTargetsRestored = false;

  const removeTarget = (id: string): void => {
    if (fleet.findTarget(id) === undefined) return;
    if (isGracePeriod) {
      expiredIds.add(id);
      return;
    }
    logger.info('a target is gone', { target: id });
    fleet.removeTarget(id);
  };

  const endGracePeriod = (): void => {
    logger.info('the grace period of missing entries is over', { missing: expiredIds.size });
    isGracePeriod = false;
    areTargetsRestored = false;
    const ids = [...expiredIds];
    expiredIds.clear();
    ids.forEach(removeTarget);
  };

  const startGracePeriod = (): void => {
    cancelGracePeriodEnd();
    cancelGracePeriodEnd = timers.scheduleOnce(EXPIRED_ENTRY_GRACE_MS, endGracePeriod);
    isGracePeriod = true;
    logger.info('the grace period of missing entries has begun', {
      graceMs: EXPIRED_ENTRY_GRACE_MS,
    });
  };

  const applyConfiguration = (object: StoreObject): void => {
    const decoded = decodeConfiguration(object.spec);
    if ('problem' in decoded) {
      logger.error('ignored an invalid configuration', { problem: decoded.problem });
      return;
    }
    if (table !== undefined && decoded.value.version <= table.version) return;
    table = buildRoutingTable(decoded.value);
    handleConfiguration(decoded.value);
    logger.info('a configuration is in force', {
      version: table.version,
      revision: object.revision,
      routes: decoded.value.routes.length,
    });
  };

  const applyTarget = (object: StoreObject): void => {
    const target = decodeTarget(object, timers.getMonotonicMs());
    if (target === undefined) {
      logger.warn('invalid target entry; the target is not used', { entry: object.name });
      fleet.removeTarget(object.name);
      return;
    }
    const known = fleet.findTarget(target.id);
    if (known === undefined) logger.info('found a target', buildTargetLogContext(target));
    else if (!known.isLeaving && target.isLeaving) {
      logger.info('a target is leaving', buildTargetLogContext(target));
    }
    expiredIds.delete(target.id);
    fleet.setTarget(target);
  };

  return {
    fleet,
    getRoutingTable: () => table,
    hasListedTargets: () => hasListedTargets,
    areTargetsCurrent: () => !areTargetsRestored,
    isZoneEvacuated: evacuatedZones.isEvacuated,
    onConfiguration(listener) {
      handleConfiguration = listener;
      if (table !== undefined) listener(table.configuration);
    },
    configurationListener: {
      handleList: (objects) => objects.forEach(applyConfiguration),
      handleObject: applyConfiguration,
      // A deletion changes nothing: the configuration stays in force until a later version arrives.
      handleDelete: () => undefined,
    },
    evacuationListener: evacuatedZones.listener,
    targetListener: {
      handleList(objects) {
        const names = new Set(objects.map(({ name }) => name));
        for (const { id } of [...fleet.listAllTargets()]) {
          if (!names.has(id)) removeTarget(id);
        }
        objects.forEach(applyTarget);
        hasListedTargets = true;
      },
      handleObject: applyTarget,
      handleDelete: ({ name }) => removeTarget(name),
      handleOutageEnd: startGracePeriod,
      handleRestoration() {
        startGracePeriod();
        areTargetsRestored = true;
      },
    },
  };
}
