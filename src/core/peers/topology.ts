import { computeRendezvousOrder } from '../rendezvous/index.ts';
import type { PeerStatus } from './types.ts';
import { PeerState } from './types.ts';

/**
 * Maximum number of gateways in a full mesh, whose number of packets grows with the square of the
 * gateways.
 */
const MAX_MESH_SIZE = 12;
/** Hubs in each zone if there are more gateways; two, so that one of them may fail. */
const HUBS_PER_ZONE = 2;
/**
 * Gateways that watch the store on behalf of the others, in as many zones; with three, one zone may
 * be lost together with another watcher.
 */
const MAX_WATCHERS = 3;

/** Which gateways exchange packets, as seen by one gateway. */
export interface Topology {
  /** Whether all gateways exchange packets directly. */
  isMesh: boolean;
  /**
   * Names of gateways that exchange packets with all hubs and with the gateways of their zone. In a
   * mesh, all gateways are hubs.
   */
  hubs: ReadonlySet<string>;
  /** Names of gateways that watch the store and send its changes to the others. */
  watchers: ReadonlySet<string>;
}

/** Sorts a zone's gateways: leaving ones last, then by capacity, then by rendezvous hash. */
function sortZoneGateways(zone: string, gateways: readonly PeerStatus[]): string[] {
  const names = gateways.map(({ vmName }) => vmName);
  const positions = new Map(
    computeRendezvousOrder(`hub/${zone}`, names).map((name, position) => [name, position]),
  );
  return [...gateways]
    .sort(
      (left, right) =>
        Number(left.state === PeerState.Leaving) - Number(right.state === PeerState.Leaving) ||
        right.capacity - left.capacity ||
        (positions.get(left.vmName) ?? 0) - (positions.get(right.vmName) ?? 0),
    )
    .map(({ vmName }) => vmName);
}

/**
 * Derives the roles from the known gateways; gateways that know the same ones and the same count
 * agree. `gatewayCount` also counts gateways that have not sent a packet yet, so that many gateways
 * use hubs from the start.
 */
export function buildTopology(gateways: readonly PeerStatus[], gatewayCount: number): Topology {
  const byZone = new Map<string, PeerStatus[]>();
  for (const gateway of gateways) {
    const list = byZone.get(gateway.availabilityZone) ?? [];
    list.push(gateway);
    byZone.set(gateway.availabilityZone, list);
  }
  const zoneOrder = computeRendezvousOrder('watchers', [...byZone.keys()]);
  const sortedZones = zoneOrder.map((zone) => sortZoneGateways(zone, byZone.get(zone) ?? []));
  const isMesh = gatewayCount <= MAX_MESH_SIZE;
  const hubs = isMesh
    ? gateways.map(({ vmName }) => vmName)
    : sortedZones.flatMap((order) => order.slice(0, HUBS_PER_ZONE));
  const watchers = sortedZones.slice(0, MAX_WATCHERS).flatMap(([first]) => first ?? []);
  return { isMesh, hubs: new Set(hubs), watchers: new Set(watchers) };
}
