import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as fc from 'fast-check';
import { GroupState } from '../allocation/index.ts';
import { buildConfiguration, buildVm } from '../planning/planning-fixture.ts';
import type { Vm } from '../domain-types/index.ts';
import type { Fault } from './fixtures/faults.ts';
import { applyFault, FaultKind, faultsArbitrary, endFaults } from './fixtures/faults.ts';
import { createSimulation } from './fixtures/simulation.ts';

/** Override the seed and the number of runs for longer trials; the defaults are fixed. */
const { FAULT_SEED, FAULT_RUNS } = process.env;
const SEED = Number(FAULT_SEED ?? 7_301);
const RUNS = Number(FAULT_RUNS ?? 20);
const START_MS = 10_000;
const SETTLE_MS = 120_000;

const DECLARED = { name: 'assistant', members: 2, replicas: 3, weight: 10 };
const VMS_PER_DOMAIN = 4;

const buildVms = (): Vm[] =>
  ['a', 'b'].flatMap((letter) =>
    Array.from({ length: VMS_PER_DOMAIN }, (_, index) =>
      buildVm(`vm-${letter}${index}`, {
        fabricDomain: `fd-${letter}`,
        availabilityZone: `sofia-${letter}`,
      }),
    ),
  );

/** Counts the replicas that can exist when every VM works; a replica cannot span two domains. */
function countPossible(vms: readonly Vm[]): number {
  const domains = [...new Set(vms.map(({ fabricDomain }) => fabricDomain))];
  const room = domains.map((domain) =>
    Math.floor(vms.filter(({ fabricDomain }) => fabricDomain === domain).length / DECLARED.members),
  );
  return Math.min(
    DECLARED.replicas,
    room.reduce((sum, count) => sum + count, 0),
  );
}

/** Sequences of faults that once violated an invariant. */
const EXAMPLES: [Fault[]][] = [
  [
    // Two domains of one process claimed the same replica, each with the home version that it read.
    [
      { kind: FaultKind.DomainDown, choice: 45, waitMs: 8_372 },
      { kind: FaultKind.ZoneOut, choice: 74, waitMs: 4_015 },
      { kind: FaultKind.DelayOrder, choice: 51, waitMs: 8_312 },
      { kind: FaultKind.ResumeProcess, choice: 88, waitMs: 6_637 },
      { kind: FaultKind.RestartVm, choice: 80, waitMs: 10_007 },
    ],
  ],
];

async function runFaults(faults: readonly Fault[], ignoresFencing: boolean): Promise<void> {
  const vms = buildVms();
  const simulation = createSimulation(['a', 'b', 'c'], vms, buildConfiguration([DECLARED]));
  if (ignoresFencing) vms.forEach(({ name }) => simulation.engines.ignoreFencing(name));
  await simulation.runFor(START_MS);
  for (const fault of faults) {
    applyFault(simulation, fault, DECLARED);
    await simulation.runFor(fault.waitMs);
  }
  endFaults(simulation, DECLARED);
  await simulation.runFor(SETTLE_MS);
  const serving = simulation.listGroups().filter(({ state }) => state === GroupState.Serving);
  const result = { problems: simulation.problems, serving: serving.length };
  const expected = { problems: [], serving: countPossible(simulation.platform.listVms()) };
  if (JSON.stringify(result) !== JSON.stringify(expected)) console.log(simulation.formatTimeline());
  expect(result).toEqual(expected);
}

describe(`controllers under random faults, seed ${SEED}`, () => {
  for (const ignoresFencing of [false, true]) {
    const targets = ignoresFencing ? 'that ignore fencing' : 'that check fencing';
    // Guards against a VM in two groups, a group that serves with a member missing, and controllers
    // that do not restore all replicas, under combinations of faults that no written test covers.
    it(`keeps the invariants with targets ${targets}`, async () => {
      const property = fc.asyncProperty(faultsArbitrary, (faults) =>
        runFaults(faults, ignoresFencing),
      );
      await fc.assert(property, {
        seed: SEED,
        numRuns: RUNS,
        examples: EXAMPLES,
        endOnFailure: true,
      });
    });
  }
});
