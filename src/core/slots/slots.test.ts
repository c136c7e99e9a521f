import { create } from '@bufbuild/protobuf';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GrantSlotsRequestSchema, HeldLeaseSchema } from '../rpc/index.ts';
import { startSlotCluster } from './fixtures/slot-cluster.ts';
import type { SlotCluster } from './fixtures/slot-cluster.ts';
import type { Slot } from './types.ts';

async function startColdCluster(): Promise<SlotCluster> {
  const cluster = await startSlotCluster(3);
  cluster.target.setWarm(false);
  await cluster.timers.runForAsync(2_000);
  // The first request makes the granter query the target.
  await takeSlot(cluster, 'entry-2');
  await cluster.timers.runForAsync(4_000);
  return cluster;
}

async function takeSlot(cluster: SlotCluster, name: string): Promise<Slot | undefined> {
  const slot = cluster.findDaemon(name).client.takeSlot(cluster.target.vm);
  await cluster.timers.runForAsync(1_000);
  return slot;
}

describe('createSlotClient', () => {
  it('keeps held slots beyond their lifetime by renewing them', async () => {
    const cluster = await startColdCluster();
    const first = await takeSlot(cluster, 'entry-2');
    const second = await takeSlot(cluster, 'entry-3');
    await cluster.timers.runForAsync(10_000);
    expect([first, second].every((slot) => slot !== undefined)).toEqual(true);
    expect(await takeSlot(cluster, 'entry-1')).toEqual(undefined);
    expect(cluster.findDaemon('entry-1').granter.listTargets()[0]?.slots.length).toEqual(2);
    cluster.stop();
  });

  it('returns a slot, so that another daemon can get it', async () => {
    const cluster = await startColdCluster();
    const slots = [await takeSlot(cluster, 'entry-2'), await takeSlot(cluster, 'entry-2')];
    slots[0]?.release();
    await cluster.timers.runForAsync(100);
    expect((await takeSlot(cluster, 'entry-3')) !== undefined).toEqual(true);
    cluster.stop();
  });

  // Guards against a request that waits indefinitely for an unreachable granter.
  it('resolves without a slot when the granter does not answer', async () => {
    const cluster = await startColdCluster();
    cluster.network.setPartitioned('entry-1', 'entry-2', true);
    expect(await takeSlot(cluster, 'entry-2')).toEqual(undefined);
    cluster.stop();
  });

  // Guards against slots that stay allocated at the granter after its response was lost.
  it('returns or uses slots after the response that granted them was lost', async () => {
    const cluster = await startColdCluster();
    const lost = cluster.findDaemon('entry-2').client.takeSlot(cluster.target.vm);
    await cluster.timers.runForAsync(5, 1);
    cluster.network.setPartitioned('entry-1', 'entry-2', true);
    await cluster.timers.runForAsync(1_000);
    expect(await lost).toEqual(undefined);
    cluster.network.setPartitioned('entry-1', 'entry-2', false);
    await cluster.timers.runForAsync(5_000);
    const slots = [await takeSlot(cluster, 'entry-3'), await takeSlot(cluster, 'entry-3')];
    expect(slots.every((slot) => slot !== undefined)).toEqual(true);
    cluster.stop();
  });
});

describe('createGranter', () => {
  // Guards against an expired lease that becomes valid again because its report was buffered while
  // the daemon was paused.
  it('ignores lease reports that were buffered during a pause', async () => {
    const cluster = await startColdCluster();
    const { granter } = cluster.findDaemon('entry-1');
    cluster.setPaused('entry-1', true);
    await cluster.timers.runForAsync(31_000);
    cluster.setLease('entry-2', 3_000);
    cluster.setPaused('entry-1', false);
    const lease = { fabricDomain: 'fabric-1', epoch: 1n, validMs: 27_000, grantDelayMs: 0 };
    granter.handleLeases([create(HeldLeaseSchema, lease)]);
    await cluster.timers.runForAsync(10);
    const request = { daemon: 'entry-3', requests: [{ vm: cluster.target.vm, want: 1 }] };
    const { grants } = granter.grantSlots(create(GrantSlotsRequestSchema, request));
    expect(grants.map(({ granter: isGranter }) => isGranter)).toEqual([false]);
    cluster.stop();
  });
});
