import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MemberState, TargetState } from '../rpc/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { ManualTimers } from '../timers/index.ts';
import { buildTestAllocation, buildTestConfiguration } from './fixtures/fake-documents.ts';
import { createFakeNetwork } from './fixtures/fake-network.ts';
import type { FakeNetwork } from './fixtures/fake-network.ts';
import { buildTestStatus, createFakeTargets } from './fixtures/fake-targets.ts';
import type { FakeTargets } from './fixtures/fake-targets.ts';
import { createTestDaemon } from './fixtures/test-daemon.ts';
import type { TestDaemon } from './fixtures/test-daemon.ts';

const NAMES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const GROUP = { name: 'assist-1', members: ['vm-1a', 'vm-2a'] };

interface Cluster {
  timers: ManualTimers;
  network: FakeNetwork;
  targets: FakeTargets;
  daemons: TestDaemon[];
  countListing(): number;
  stop(): void;
}

async function startCluster(): Promise<Cluster> {
  const timers = createManualTimers();
  const network = createFakeNetwork(timers);
  const targets = createFakeTargets(timers, network);
  GROUP.members.forEach((vm, rank) => {
    targets.statuses.set(vm, buildTestStatus({ group: GROUP.name, generation: 1, rank }));
  });
  targets.statuses.set('order-a', buildTestStatus());
  const daemons = NAMES.map((name) => createTestDaemon(name, NAMES, timers, network, targets));
  daemons.forEach((daemon) => {
    daemon.documents.setConfiguration(1, buildTestConfiguration());
    daemon.documents.setAllocation(2, buildTestAllocation([GROUP]));
    daemon.start();
  });
  await timers.runForAsync(2_000);
  return {
    timers,
    network,
    targets,
    daemons,
    countListing: () =>
      daemons.filter(
        ({ directory }) => directory.listModelTargets('orchard', 'assist-7b').length > 0,
      ).length,
    stop: () => daemons.forEach((daemon) => daemon.stop()),
  };
}

describe('probing', () => {
  it('assigns 2 probers to each target, and all daemons list the group', async () => {
    const cluster = await startCluster();
    const probing = cluster.daemons.filter(({ prober }) => prober.findReport('vm-1a'));
    expect(probing).toHaveLength(2);
    expect(cluster.countListing()).toEqual(4);
    cluster.stop();
  });

  // Guards against a group that stays listed after the loss of a member (I1).
  it('removes the group on all daemons after the first failed probe of a member', async () => {
    const cluster = await startCluster();
    cluster.targets.down.add('vm-2a');
    await cluster.timers.runForAsync(1_050);
    expect(cluster.countListing()).toEqual(0);
    cluster.stop();
  });

  // Guards against a target that nobody probes after both of its probers have failed.
  it('assigns other probers when both probers are dead', async () => {
    const cluster = await startCluster();
    const dead = cluster.daemons[0]?.listProbers('vm-1a') ?? [];
    const alive = cluster.daemons.filter(({ name }) => !dead.includes(name));
    cluster.daemons.filter(({ name }) => dead.includes(name)).forEach((daemon) => daemon.stop());
    alive.forEach(({ membership }) =>
      dead.forEach((name) => membership.setState(name, MemberState.DEAD)),
    );
    await cluster.timers.runForAsync(5_000);
    const listing = alive.filter(
      ({ directory }) => directory.listModelTargets('orchard', 'assist-7b').length > 0,
    );
    expect(listing).toHaveLength(2);
    cluster.stop();
  });

  // Guards against a subscriber that keeps an old report when a partition separates it from the
  // probers.
  it('treats a target as unreachable when the daemon is partitioned from both probers', async () => {
    const cluster = await startCluster();
    const probers = cluster.daemons[0]?.listProbers('vm-1a') ?? [];
    const other = cluster.daemons.find(({ name }) => !probers.includes(name));
    probers.forEach((name) => cluster.network.setPartitioned(other?.name ?? '', name, true));
    await cluster.timers.runForAsync(4_500);
    expect(other?.health.getReport('vm-1a')?.state).toEqual(TargetState.UNREACHABLE);
    cluster.stop();
  });

  it('records a restart of a target by its instance id', async () => {
    const cluster = await startCluster();
    cluster.targets.statuses.set('order-a', buildTestStatus({ instanceId: 'i-2', warm: false }));
    await cluster.timers.runForAsync(1_100);
    const events = cluster.daemons.flatMap(({ recorder }) => recorder.read());
    const restarts = events.filter(({ kind }) => kind === 'target-restarted');
    expect(restarts).toHaveLength(2);
    const states = cluster.daemons.map(({ health }) => health.getReport('order-a')?.state);
    expect(states).toEqual(NAMES.map(() => TargetState.COLD));
    cluster.stop();
  });

  // Guards against refreshes that overwrite the group or the load of a target.
  it('keeps the full report at subscribers while nothing changes', async () => {
    const cluster = await startCluster();
    await cluster.timers.runForAsync(10_000);
    const reports = cluster.daemons.map(({ health }) => health.getReport('vm-1a'));
    expect(reports.map((report) => report?.group)).toEqual(NAMES.map(() => GROUP.name));
    expect(reports.every((report) => (report?.ageMs ?? Infinity) <= 1_600)).toEqual(true);
    cluster.stop();
  });
});
