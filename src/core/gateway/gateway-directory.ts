import type { Directory, DirectoryCandidate } from '../directory/index.ts';
import { createDirectory } from '../directory/index.ts';
import type { PeerExchange, PeerStatus } from '../peers/index.ts';
import { PeerState } from '../peers/index.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import type { GatewayDependencies, GatewayParameters } from './types.ts';

/** Dependencies of a gateway's directory. */
export interface GatewayDirectoryOptions extends Pick<
  GatewayDependencies,
  'timers' | 'logger' | 'random'
> {
  peerExchange: Pick<PeerExchange, 'listPeers'>;
  metrics: Pick<GatewayMetrics, 'countDirectoryAnswer'>;
  /** Returns the status that this gateway announces. */
  getStatus(): PeerStatus;
  getSettings(): Pick<GatewayParameters, 'maxDirectoryTtlMs' | 'regionByZone'>;
}

function toCandidate(status: PeerStatus, silentMs: number): DirectoryCandidate {
  const { callersAddress, availabilityZone, capacity, linkMbps, inProgress, memoryShare } = status;
  return {
    callersAddress,
    availabilityZone,
    capacity,
    linkMbps,
    inProgress,
    memoryShare,
    silentMs,
  };
}

/** Creates the directory of a gateway, which names the ready gateways. */
export function createGatewayDirectory(options: GatewayDirectoryOptions): Directory {
  const { timers, logger, random, peerExchange, metrics, getStatus, getSettings } = options;
  return createDirectory({
    timers,
    logger,
    random,
    callersAddress: getStatus().callersAddress,
    listCandidates() {
      const now = timers.getMonotonicMs();
      const peers = [{ status: getStatus(), heardMs: now }, ...peerExchange.listPeers()];
      return peers
        .filter(({ status }) => status.state === PeerState.Ready)
        .map(({ status, heardMs }) => toCandidate(status, now - heardMs));
    },
    getRegion(availabilityZone) {
      const { regionByZone } = getSettings();
      return Object.hasOwn(regionByZone, availabilityZone)
        ? regionByZone[availabilityZone]
        : undefined;
    },
    getMaxTtlMs: () => getSettings().maxDirectoryTtlMs,
    handleAnswer: metrics.countDirectoryAnswer,
  });
}
