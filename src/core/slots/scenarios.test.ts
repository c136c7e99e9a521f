import { readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { buildTestConfiguration } from '../probing/fixtures/fake-documents.ts';
import { buildTestStatus } from '../probing/fixtures/fake-targets.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';
import { startSlotCluster } from './fixtures/slot-cluster.ts';
import type { SlotCluster } from './fixtures/slot-cluster.ts';

const DAEMONS = 8;
const REQUEST_PERIOD_MS = 100;
const GROUP = { name: 'assist-1', members: ['vm-1a', 'vm-2a'] };
const GRANT_DELAY_MS = 3_000;

/** Compares a timeline with its golden file; UPDATE_GOLDEN=1 rewrites the file first. */
function checkGolden(name: string, text: string): void {
  const file = fileURLToPath(new URL(`golden/${name}.golden.txt`, import.meta.url));
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(file, text);
  expect(text).toEqual(readFileSync(file, 'utf8'));
}

/** Sends requests from all daemons in turn at a fixed interval. */
function startRequests(cluster: SlotCluster): () => void {
  let next = 0;
  return cluster.timers.subscribe(REQUEST_PERIOD_MS, () => {
    const daemon = cluster.daemons[next++ % DAEMONS];
    if (daemon !== undefined) void cluster.sendRequest(daemon.name);
  });
}

function startGroup(cluster: SlotCluster): void {
  GROUP.members.forEach((vm, rank) => {
    cluster.targets.statuses.set(vm, buildTestStatus({ group: GROUP.name, generation: 1, rank }));
  });
  cluster.setGroups([GROUP]);
}

/** Records how many daemons list the group whenever the number changes. */
function watchListing(cluster: SlotCluster): void {
  let before = -1;
  cluster.timers.subscribe(10, () => {
    const listing = cluster.daemons.filter(
      ({ directory }) => directory.listModelTargets('orchard', 'assist-7b').length > 0,
    ).length;
    if (listing !== before) cluster.record('daemons-listing-group', { count: listing });
    before = listing;
  });
}

function setZone(cluster: SlotCluster, version: number, state: AvailabilityZoneState): void {
  cluster.record('zone', { name: 'sofia-a', state });
  const availabilityZones = [{ name: 'sofia-a', region: 'sofia', state }];
  cluster.daemons.forEach(({ documents }) => {
    documents.setConfiguration(version, buildTestConfiguration({ availabilityZones }));
  });
}

interface Scenario {
  name: string;
  /** Failure that the scenario guards against. */
  guards: string;
  run: (cluster: SlotCluster) => Promise<void>;
}

const scenarios: Scenario[] = [
  {
    name: 'warm-target-turns-cold',
    guards: 'a cold target that gets more requests than its limit from 8 daemons',
    async run(cluster) {
      startRequests(cluster);
      await cluster.timers.runForAsync(2_000);
      cluster.target.setWarm(false);
      await cluster.timers.runForAsync(8_000);
      cluster.target.setWarm(true);
      await cluster.timers.runForAsync(2_000);
    },
  },
  {
    name: 'granter-dies',
    guards: 'a new granter that does not count the slots of the previous granter',
    async run(cluster) {
      cluster.target.setWarm(false);
      startRequests(cluster);
      await cluster.timers.runForAsync(8_000);
      cluster.stopDaemon('entry-1');
      await cluster.timers.runForAsync(5_000);
      cluster.setLease('entry-2', GRANT_DELAY_MS);
      await cluster.timers.runForAsync(6_000);
    },
  },
  {
    name: 'granter-paused-past-its-lease',
    guards: 'a resumed granter that grants slots in parallel with its successor',
    async run(cluster) {
      cluster.target.setWarm(false);
      startRequests(cluster);
      await cluster.timers.runForAsync(8_000);
      cluster.setPaused('entry-1', true);
      await cluster.timers.runForAsync(31_000);
      cluster.setLease('entry-2', GRANT_DELAY_MS);
      await cluster.timers.runForAsync(6_000);
      cluster.setPaused('entry-1', false);
      await cluster.timers.runForAsync(3_000);
    },
  },
  {
    name: 'zone-out-and-back',
    guards: 'new requests in an availability zone that operators have taken out',
    async run(cluster) {
      startGroup(cluster);
      watchListing(cluster);
      await cluster.timers.runForAsync(3_000);
      setZone(cluster, 2, AvailabilityZoneState.Out);
      await cluster.timers.runForAsync(2_000);
      setZone(cluster, 3, AvailabilityZoneState.In);
      await cluster.timers.runForAsync(2_000);
    },
  },
  {
    name: 'leaving-target',
    guards: 'new requests to a target that is leaving',
    async run(cluster) {
      startGroup(cluster);
      watchListing(cluster);
      await cluster.timers.runForAsync(3_000);
      cluster.record('vm-leaving', { vm: 'vm-2a' });
      cluster.setGroups([GROUP], ['vm-2a']);
      await cluster.timers.runForAsync(2_000);
    },
  },
  {
    name: 'member-lost',
    guards: 'a group that is still listed after the first failed probe of a member',
    async run(cluster) {
      startGroup(cluster);
      watchListing(cluster);
      await cluster.timers.runForAsync(3_500);
      cluster.record('vm-lost', { vm: 'vm-2a' });
      cluster.targets.down.add('vm-2a');
      await cluster.timers.runForAsync(3_000);
    },
  },
  {
    name: 'probers-partitioned',
    guards: 'a daemon that keeps old reports when it is partitioned from both probers',
    async run(cluster) {
      startGroup(cluster);
      watchListing(cluster);
      await cluster.timers.runForAsync(3_000);
      const probers = cluster.daemons[0]?.listProbers('vm-2a') ?? [];
      const other = cluster.daemons.find(({ name }) => !probers.includes(name))?.name ?? '';
      cluster.record('cut', { daemon: other, probers: probers.join(',') });
      probers.forEach((name) => cluster.network.setPartitioned(other, name, true));
      await cluster.timers.runForAsync(6_000);
      cluster.record('restored', { daemon: other });
      probers.forEach((name) => cluster.network.setPartitioned(other, name, false));
      await cluster.timers.runForAsync(3_000);
    },
  },
];

describe('slot scenarios with 8 daemons', () => {
  for (const { name, guards, run } of scenarios) {
    it(`${name}: guards against ${guards}`, async () => {
      const cluster = await startSlotCluster(DAEMONS);
      await run(cluster);
      cluster.stop();
      expect(cluster.target.counts.overloads).toEqual(0);
      checkGolden(name, cluster.formatTimeline());
    });
  }
});
