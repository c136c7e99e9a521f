import { REPLICA_HOME_KIND, VM_HOME_KIND } from '../allocation/index.ts';
import type { Home } from '../allocation/index.ts';
import { formatProblem } from '../errors/index.ts';
import type { ClaimAction, ReleaseAction } from '../planning/index.ts';
import { PlanActionKind } from '../planning/index.ts';
import type { WriteResult } from '../object-api/index.ts';
import { WriteOutcome } from '../object-api/index.ts';
import type { HomeCache } from './home-cache.ts';
import type { ClusterCache } from './cluster-cache.ts';
import type { ControllerContext } from './types.ts';

/** A plan action that writes or deletes a home. */
export type HomeAction = ClaimAction | ReleaseAction;

/** Writes and deletes the homes of VMs and replicas for one domain. */
export interface HomeWriter {
  /** Carries out one action; if its outcome is unknown, the home is marked uncertain. */
  writeHome(action: HomeAction, epoch: number): Promise<void>;
}

function isVmAction(action: HomeAction): boolean {
  return action.kind === PlanActionKind.ClaimVm || action.kind === PlanActionKind.ReleaseVm;
}

function isClaim(action: HomeAction): action is ClaimAction {
  return action.kind === PlanActionKind.ClaimVm || action.kind === PlanActionKind.ClaimReplica;
}

function applyConflict(homeCache: HomeCache, name: string, result: WriteResult): void {
  const { current } = result;
  if (current === undefined) homeCache.applyDeleted(name, result.version);
  else homeCache.applyHome(name, current.value as Home, current.version);
}

/** Creates the home writer of one domain. */
export function createHomeWriter(
  context: ControllerContext,
  clusterCache: ClusterCache,
  fabricDomain: string,
): HomeWriter {
  const { platform, recorder, logger, createWriteId } = context;

  const claim = async (
    action: ClaimAction,
    homeCache: HomeCache,
    epoch: number,
  ): Promise<boolean> => {
    const kind = isVmAction(action) ? VM_HOME_KIND : REPLICA_HOME_KIND;
    // The version is the one that was planned with, because another domain of this process may have
    // claimed the home in the meantime.
    const { name, version: baseVersion } = action;
    const value: Home = { fabricDomain, epoch };
    const writeId = createWriteId();
    const result = await platform.writeObject({ kind, name, baseVersion, writeId, value });
    const isApplied = result.outcome === WriteOutcome.Applied;
    if (isApplied) homeCache.applyHome(name, value, result.version);
    else applyConflict(homeCache, name, result);
    return isApplied;
  };

  const release = async (action: ReleaseAction, homeCache: HomeCache): Promise<boolean> => {
    const kind = isVmAction(action) ? VM_HOME_KIND : REPLICA_HOME_KIND;
    const { name, version: baseVersion } = action;
    const writeId = createWriteId();
    const result = await platform.deleteObject({ kind, name, baseVersion, writeId });
    const isApplied = result.outcome === WriteOutcome.Applied;
    if (isApplied) homeCache.applyDeleted(name, result.version);
    else applyConflict(homeCache, name, result);
    return isApplied;
  };

  return {
    async writeHome(action, epoch) {
      const homeCache = isVmAction(action) ? clusterCache.vmHomes : clusterCache.replicaHomes;
      const { kind, name } = action;
      try {
        const isApplied = isClaim(action)
          ? await claim(action, homeCache, epoch)
          : await release(action, homeCache);
        const outcome = isApplied ? WriteOutcome.Applied : WriteOutcome.Conflict;
        recorder.record('controller', kind, { fabricDomain, name, epoch, outcome });
      } catch (error) {
        homeCache.markUncertain(name);
        logger.warn('outcome of a home write is unknown', { name, problem: formatProblem(error) });
        recorder.record('controller', kind, { fabricDomain, name, epoch, outcome: 'unknown' });
      }
    },
  };
}
