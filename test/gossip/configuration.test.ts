import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FakeFleet } from '../../src/core/relay/fixtures/fake-fleet.ts';
import { createFakeFleet } from '../../src/core/relay/fixtures/fake-fleet.ts';
import { PlatformState } from '../../src/core/relay/fixtures/fake-platform.ts';
import { RELAYS_PER_ZONE } from '../../src/core/relay/index.ts';

const SEED = 20_260_102;
const JOIN_MS = 10_000;
const MINUTE_MS = 60_000;
const OUTAGE_MS = 10 * MINUTE_MS;
const HOUR_MS = 60 * MINUTE_MS;
const LONG_STEP_MS = 100;
/** Limit for a change to be in force at all daemons (rule I10). */
const IN_FORCE_MS = 20_000;
const ZONES = 3;
const GROUPS = 600;

async function startFleet(daemons: number, groups = 3): Promise<FakeFleet> {
  const fleet = await createFakeFleet({ daemons, seed: SEED, groups });
  fleet.writeConfiguration();
  await fleet.clock.runForAsync(JOIN_MS);
  return fleet;
}

function listRelays(fleet: FakeFleet): number[] {
  return fleet.daemons
    .map((daemon, index) => (!daemon.host.isCrashed() && daemon.relay.isActive() ? index : -1))
    .filter((index) => index >= 0);
}

function countBytes(fleet: FakeFleet): { datagramBytes: number; callBytes: number } {
  const counts = fleet.daemons.map(({ host }) => fleet.network.getTraffic(host.address));
  return {
    datagramBytes: counts.reduce((sum, count) => sum + count.datagramBytes, 0),
    callBytes: counts.reduce((sum, count) => sum + count.callBytes, 0),
  };
}

function isFirstSide(address: string): boolean {
  return Number(address.split('.').at(-1)) <= 4;
}

describe(`configuration on a fake network, seed ${SEED}`, () => {
  for (const daemons of [8, 16, 64]) {
    // Guards against a change that does not reach all daemons, and against traffic that grows with
    // the number of rows.
    it(`replicates a change to all of ${daemons} daemons`, async (context) => {
      const fleet = await startFleet(daemons, GROUPS);
      fleet.network.resetTraffic();
      const version = fleet.writeConfiguration();
      const elapsedMs = await fleet.measurePropagationMs(version, MINUTE_MS);
      const { callBytes } = countBytes(fleet);
      const perDaemon = Math.round(callBytes / daemons);
      context.diagnostic(`${daemons} daemons: ${elapsedMs} ms, ${perDaemon} B of calls a daemon`);
      expect(elapsedMs < 5_000).toEqual(true);
      expect(perDaemon < 10_000).toEqual(true);
      expect(fleet.violations).toEqual([]);
    });
  }

  // Guards against a number of platform watches that grows with the fleet.
  it('watches the platform from 2 daemons of each availability zone', async () => {
    const fleet = await startFleet(32);
    expect(listRelays(fleet)).toHaveLength(ZONES * RELAYS_PER_ZONE);
    expect(fleet.platform.getWaitingWatches()).toEqual(2 * ZONES * RELAYS_PER_ZONE);
  });

  // Guards against a change that reaches no daemon because all relays have crashed.
  it('replaces crashed relays and replicates a change to all daemons', async (context) => {
    const fleet = await startFleet(16);
    const relays = listRelays(fleet);
    relays.forEach((index) => fleet.getDaemon(index).host.crash());
    const version = fleet.writeConfiguration();
    const others = fleet.daemons
      .map((_, index) => index)
      .filter((index) => !relays.includes(index));
    const elapsedMs = await fleet.measurePropagationMs(version, MINUTE_MS, others);
    context.diagnostic(`in force ${elapsedMs} ms after ${relays.length} relays of 16 crashed`);
    expect(elapsedMs < IN_FORCE_MS).toEqual(true);
    relays.forEach(fleet.startDaemon);
    expect((await fleet.measurePropagationMs(version, MINUTE_MS)) < 5_000).toEqual(true);
    expect(fleet.violations).toEqual([]);
  });

  // Guards against a resumed relay whose old copy replaces newer copies at other daemons.
  it('keeps the newer version when paused relays rejoin with old copies', async () => {
    const fleet = await startFleet(8);
    const relays = listRelays(fleet);
    const paused = relays.slice(0, relays.length / 2);
    paused.forEach((index) => fleet.getDaemon(index).host.pause());
    await fleet.clock.runForAsync(MINUTE_MS, LONG_STEP_MS);
    const version = fleet.writeConfiguration();
    await fleet.clock.runForAsync(MINUTE_MS, LONG_STEP_MS);
    fleet.platform.setState(PlatformState.Down);
    paused.forEach((index) => fleet.getDaemon(index).host.resume());
    expect((await fleet.measurePropagationMs(version, MINUTE_MS)) < IN_FORCE_MS).toEqual(true);
    expect(fleet.violations).toEqual([]);
  });

  // Guards against a change that is delayed until watches that no longer answer time out.
  it('replicates a change to all daemons although no open watch is answered', async (context) => {
    const fleet = await startFleet(16);
    fleet.platform.setState(PlatformState.Silent);
    await fleet.clock.runForAsync(500);
    const version = fleet.writeConfiguration();
    fleet.platform.setState(PlatformState.Up);
    const elapsedMs = await fleet.measurePropagationMs(version, MINUTE_MS);
    context.diagnostic(`in force ${elapsedMs} ms after the watches stopped answering`);
    expect(elapsedMs < IN_FORCE_MS).toEqual(true);
  });

  // Guards against relays that retry too rarely, or too often, while the platform is down.
  it('replicates a change to all daemons after a platform outage of 10 min', async (context) => {
    const fleet = await startFleet(8);
    fleet.platform.setState(PlatformState.Down);
    const callsBefore = fleet.platform.getWatchCalls();
    await fleet.clock.runForAsync(OUTAGE_MS, LONG_STEP_MS);
    const calls = fleet.platform.getWatchCalls() - callsBefore;
    fleet.platform.setState(PlatformState.Up);
    const version = fleet.writeConfiguration();
    const elapsedMs = await fleet.measurePropagationMs(version, MINUTE_MS);
    const perSecond = calls / (OUTAGE_MS / 1_000);
    context.diagnostic(`in force after ${elapsedMs} ms; ${perSecond.toFixed(2)} calls/s before`);
    expect(elapsedMs < IN_FORCE_MS).toEqual(true);
    expect(perSecond < 3).toEqual(true);
  });

  // Guards against a daemon without stored copies that can't serve while the platform is down.
  it('gives restarted daemons their first copy while the platform is down', async (context) => {
    const fleet = await startFleet(8);
    const version = fleet.daemons[0]?.store.getConfiguration()?.version ?? 0;
    fleet.platform.setState(PlatformState.Down);
    const times: number[] = [];
    for (const index of fleet.daemons.keys()) {
      fleet.getDaemon(index).host.crash();
      fleet.startDaemon(index);
      times.push(await fleet.measurePropagationMs(version, MINUTE_MS, [index]));
    }
    context.diagnostic(`first copies after at most ${Math.max(...times)} ms`);
    expect(Math.max(...times) < 3_000).toEqual(true);
    expect(fleet.violations).toEqual([]);
  });

  // Guards against a side that loses its configuration during the partition, and against sides that
  // don't converge after it.
  it('converges after a partition of an hour', async (context) => {
    const fleet = await startFleet(8);
    const before = fleet.daemons[0]?.store.getConfiguration()?.version ?? 0;
    // The platform is on the second side.
    fleet.network.setBlocked((from, to) => isFirstSide(from) !== isFirstSide(to));
    await fleet.clock.runForAsync(HOUR_MS / 2, LONG_STEP_MS);
    const version = fleet.writeConfiguration();
    await fleet.clock.runForAsync(HOUR_MS / 2, LONG_STEP_MS);
    expect(fleet.hasVersion(before, [0, 1, 2, 3])).toEqual(true);
    expect(fleet.hasVersion(version, [4, 5, 6, 7])).toEqual(true);
    fleet.network.setBlocked(() => false);
    const elapsedMs = await fleet.measurePropagationMs(version, MINUTE_MS);
    context.diagnostic(`in force on both sides ${elapsedMs} ms after the partition`);
    expect(elapsedMs < IN_FORCE_MS).toEqual(true);
    expect(fleet.violations).toEqual([]);
  });
});
