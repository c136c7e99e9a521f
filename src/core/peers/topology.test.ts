import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildTopology } from './topology.ts';
import type { PeerStatus } from './types.ts';
import { PeerState } from './types.ts';

const ZONES = ['a', 'b', 'c'];

function createStatus(index: number, change: Partial<PeerStatus> = {}): PeerStatus {
  return {
    vmName: `vm-${index}`,
    incarnation: 1,
    callersAddress: `10.0.0.${index}:80`,
    peerAddress: `10.0.0.${index}:70`,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    capacity: 300,
    linkMbps: 1_000,
    inProgress: 0,
    memoryShare: 0,
    state: PeerState.Ready,
    hasRequests: false,
    dutyTerm: 0,
    ...change,
  };
}

function createStatuses(count: number): PeerStatus[] {
  return Array.from({ length: count }, (_, index) => createStatus(index));
}

describe('topology of gateways', () => {
  const cases = [
    { count: 1, isMesh: true, hubs: 1, watchers: 1 },
    { count: 8, isMesh: true, hubs: 8, watchers: 3 },
    { count: 12, isMesh: true, hubs: 12, watchers: 3 },
    { count: 13, isMesh: false, hubs: 6, watchers: 3 },
    { count: 85, isMesh: false, hubs: 6, watchers: 3 },
    { count: 410, isMesh: false, hubs: 6, watchers: 3 },
  ];
  for (const { count, isMesh, hubs, watchers } of cases) {
    it(`has ${hubs} hubs and ${watchers} watchers among ${count} gateways`, () => {
      const topology = buildTopology(createStatuses(count), count);
      expect(topology.isMesh).toEqual(isMesh);
      expect(topology.hubs.size).toEqual(hubs);
      expect(topology.watchers.size).toEqual(watchers);
    });
  }

  // Guards against gateways that choose different hubs and never receive each other's state.
  it('is the same whatever the order of the gateways', () => {
    const gateways = createStatuses(40);
    expect(buildTopology([...gateways].reverse(), 40).hubs).toEqual(
      buildTopology(gateways, 40).hubs,
    );
  });

  // Guards against many gateways that form a full mesh while they start.
  it('has hubs while most of 85 gateways have not sent a packet yet', () => {
    expect(buildTopology(createStatuses(3), 85).isMesh).toEqual(false);
  });

  // Guards against a small VM that relays the packets of a zone that also has larger VMs.
  it('chooses the VMs with the highest capacity as hubs', () => {
    const gateways = createStatuses(40);
    gateways[7] = createStatus(7, { capacity: 1_350 });
    expect(buildTopology(gateways, 40).hubs.has('vm-7')).toEqual(true);
  });

  // Guards against a zone without a watcher for as long as its watcher takes to stop.
  it('reassigns the roles of a leaving gateway', () => {
    const gateways = createStatuses(40);
    const [watcher = ''] = buildTopology(gateways, 40).watchers;
    const index = gateways.findIndex(({ vmName }) => vmName === watcher);
    gateways[index] = createStatus(index, { state: PeerState.Leaving });
    const { hubs, watchers } = buildTopology(gateways, 40);
    expect(hubs.has(watcher)).toEqual(false);
    expect(watchers.has(watcher)).toEqual(false);
  });
});
