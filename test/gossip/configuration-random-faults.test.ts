import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { formatDaemonAddress } from '../../src/core/membership/fixtures/fake-cluster.ts';
import type { FakeFleet } from '../../src/core/relay/fixtures/fake-fleet.ts';
import { createFakeFleet } from '../../src/core/relay/fixtures/fake-fleet.ts';
import { PlatformState } from '../../src/core/relay/fixtures/fake-platform.ts';

const SEED = 515_151;
const RUNS = 40;
const DAEMONS = 8;
const FAULT_INTERVAL_MS = 3_000;
const JOIN_MS = 6_000;
const CLOCK_STEP_MS = 50;
/** Limit for all daemons to hold the newest version after the last fault has ended. */
const CONVERGENCE_LIMIT_MS = 120_000;

enum Fault {
  Write = 'write',
  Restart = 'restart',
  RestartAll = 'restart-all',
  Pause = 'pause',
  Resume = 'resume',
  Loss = 'loss',
  Cut = 'cut',
  Partition = 'partition',
  PlatformDown = 'platform-down',
  PlatformSilent = 'platform-silent',
  PlatformUp = 'platform-up',
  Heal = 'heal',
}

interface FaultStep {
  fault: Fault;
  daemon: number;
}

function restartDaemon(fleet: FakeFleet, index: number): void {
  fleet.getDaemon(index).host.crash();
  fleet.startDaemon(index);
}

function healNetwork({ network }: FakeFleet): void {
  network.setBlocked(() => false);
  network.setLoss(0);
}

const faultEffects: Readonly<Record<Fault, (fleet: FakeFleet, daemon: number) => void>> = {
  // A silent platform applies the write, but its answer is lost.
  [Fault.Write]: (fleet) => {
    if (fleet.platform.getState() !== PlatformState.Down) fleet.writeConfiguration();
  },
  [Fault.Restart]: restartDaemon,
  [Fault.RestartAll]: (fleet) => {
    [...fleet.daemons.keys()].forEach((index) => restartDaemon(fleet, index));
  },
  [Fault.Pause]: (fleet, daemon) => fleet.getDaemon(daemon).host.pause(),
  [Fault.Resume]: (fleet, daemon) => fleet.getDaemon(daemon).host.resume(),
  [Fault.Loss]: ({ network }) => network.setLoss(0.3),
  [Fault.Cut]: ({ network }, daemon) => {
    const address = formatDaemonAddress(daemon);
    network.setBlocked((from) => from === address);
  },
  [Fault.Partition]: ({ network }, daemon) => {
    const address = formatDaemonAddress(daemon);
    network.setBlocked((from, to) => from < address !== to < address);
  },
  [Fault.PlatformDown]: ({ platform }) => platform.setState(PlatformState.Down),
  [Fault.PlatformSilent]: ({ platform }) => platform.setState(PlatformState.Silent),
  [Fault.PlatformUp]: ({ platform }) => platform.setState(PlatformState.Up),
  [Fault.Heal]: healNetwork,
};

const faultStep: fc.Arbitrary<FaultStep> = fc.record({
  fault: fc.constantFrom(...Object.values(Fault)),
  daemon: fc.nat(DAEMONS - 1),
});

/**
 * Plays a sequence of faults, then ends all of them, and returns the time in milliseconds until all
 * daemons hold the newest version.
 */
async function measureConvergence(steps: readonly FaultStep[], seed: number): Promise<number> {
  const fleet = await createFakeFleet({ daemons: DAEMONS, seed });
  let version = fleet.writeConfiguration();
  await fleet.clock.runForAsync(JOIN_MS, CLOCK_STEP_MS);
  for (const { fault, daemon } of steps) {
    faultEffects[fault](fleet, daemon);
    await fleet.clock.runForAsync(FAULT_INTERVAL_MS, CLOCK_STEP_MS);
  }
  healNetwork(fleet);
  fleet.platform.setState(PlatformState.Up);
  fleet.daemons.forEach(({ host }) => host.resume());
  version = fleet.writeConfiguration();
  const elapsedMs = await fleet.measurePropagationMs(version, CONVERGENCE_LIMIT_MS);
  expect(fleet.violations).toEqual([]);
  expect(fleet.hasVersion(version)).toEqual(true);
  return elapsedMs;
}

describe(`configuration under random faults, seed ${SEED}`, () => {
  // Guards against fault sequences after which a daemon returns to an older version, holds a value
  // that was never accepted, or never receives an accepted change.
  it('brings the newest version to all daemons after the faults', async (context) => {
    let longestMs = 0;
    const property = fc.asyncProperty(
      fc.array(faultStep, { maxLength: 12 }),
      fc.nat(),
      async (steps, seed) => {
        longestMs = Math.max(longestMs, await measureConvergence(steps, seed));
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
    context.diagnostic(`newest version at all daemons after at most ${longestMs} ms`);
  });
});
