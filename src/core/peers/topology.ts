import { computeRendezvousOrder } from '../rendezvous/index.ts';
import type { PeerStatus } from './types.ts';
import { PeerState } from './types.ts';

/** Up to this many gateways exchange packets directly; the packets grow with the square. */
const MESH_LIMIT = 12;
/** In larger fleets so many gateways of each zone are hubs, so that one may be lost. */
const HUBS_PER_ZONE = 2;
/** Gateways of each zone that watch the store for the others. */
const WATCHERS_PER_ZONE = 1;

/** Who exchanges packets with whom, as one gateway sees it. */
export interface Topology {
  /** Whether all gateways exchange packets directly. */
  isMesh: boolean;
  /** Names of gateways that exchange packets with all hubs, and with the others of their zone. */
  hubs: ReadonlySet<string>;
  /** Names of gateways that watch the store and tell the others what changed. */
  watchers: ReadonlySet<string>;
}

/** Orders the gateways of a zone: staying ones first, those that can carry most before others. */
function orderForZone(zone: string, members: readonly PeerStatus[]): string[] {
  const names = members.map(({ vmName }) => vmName);
  const positions = new Map(
    computeRendezvousOrder(`hub/${zone}`, names).map((name, position) => [name, position]),
  );
  return [...members]
    .sort(
      (left, right) =>
        Number(left.state === PeerState.Leaving) - Number(right.state === PeerState.Leaving) ||
        right.capacity - left.capacity ||
        (positions.get(left.vmName) ?? 0) - (positions.get(right.vmName) ?? 0),
    )
    .map(({ vmName }) => vmName);
}

/**
 * Derives the roles from the gateways that are known; all that know the same find the same.
 * `fleetSize` counts those not heard of yet as well, so that a large fleet starts with hubs.
 */
export function buildTopology(members: readonly PeerStatus[], fleetSize: number): Topology {
  const byZone = new Map<string, PeerStatus[]>();
  for (const member of members) {
    const list = byZone.get(member.availabilityZone) ?? [];
    list.push(member);
    byZone.set(member.availabilityZone, list);
  }
  const orders = [...byZone].map(([zone, list]) => orderForZone(zone, list));
  const isMesh = fleetSize <= MESH_LIMIT;
  const hubs = isMesh
    ? members.map(({ vmName }) => vmName)
    : orders.flatMap((order) => order.slice(0, HUBS_PER_ZONE));
  const watchers = orders.flatMap((order) => order.slice(0, WATCHERS_PER_ZONE));
  return { isMesh, hubs: new Set(hubs), watchers: new Set(watchers) };
}
