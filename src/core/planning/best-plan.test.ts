import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as fc from 'fast-check';
import type { GroupAllocation } from '../allocation/index.ts';
import { AllocationEventKind, applyAllocationEvent } from '../allocation/index.ts';
import type { DeclaredGroup } from './planning-fixture.ts';
import {
  buildAllocation,
  buildConfiguration,
  buildGroup,
  buildStatus,
  buildView,
  buildPlanningInput,
} from './planning-fixture.ts';
import { planGroups } from './index.ts';
import type { PlanningInput } from './types.ts';
import { PlanActionKind, VmHealth } from './types.ts';

const SEED = 20_260_101;
const RUNS = 500;

interface SmallCase {
  /** Members and weight of each replica; each has its own serving group. */
  replicas: { members: number; weight: number }[];
  spares: number;
  /** Whether a VM is lost, by VM number. */
  lost: boolean[];
}

function buildSmallInput({ replicas, spares, lost }: SmallCase): PlanningInput {
  const declared = replicas.map(({ members, weight }, index): DeclaredGroup => ({
    name: `g${index}`,
    members,
    replicas: 1,
    weight,
  }));
  const total = replicas.reduce((sum, { members }) => sum + members, spares);
  const vms = Array.from({ length: total }, (_, index) => `vm-${index}`);
  let next = 0;
  const groups = declared.map(({ name, members }): GroupAllocation => {
    const taken = vms.slice(next, next + members);
    next += members;
    return buildGroup(name, 0, taken);
  });
  const input = buildPlanningInput(buildAllocation(vms, groups), buildConfiguration(declared));
  const lostView = buildView(buildStatus(), { health: VmHealth.Lost });
  const lostVms = vms.filter((_, index) => lost[index] === true);
  return {
    ...input,
    views: new Map([...input.views, ...lostVms.map((vm) => [vm, lostView] as const)]),
  };
}

function isLost(input: PlanningInput, vm: string): boolean {
  return input.views.get(vm)?.health === VmHealth.Lost;
}

function sumWeight(input: PlanningInput, groups: readonly GroupAllocation[]): number {
  return groups.reduce((sum, group) => {
    const row = input.configuration.weights.find(
      ({ servingGroup }) => servingGroup === group.servingGroup,
    );
    return sum + (row?.weight ?? 0);
  }, 0);
}

/** Tries every set of replicas that keeps all complete groups and fits into the remaining VMs. */
function computeBestWeight(input: PlanningInput): number {
  const { groups, vms } = input.allocation;
  const alive = Object.keys(vms).filter((vm) => !isLost(input, vm)).length;
  const isWhole = (group: GroupAllocation): boolean =>
    group.members.every((vm) => !isLost(input, vm));
  let best = 0;
  for (let mask = 0; mask < 2 ** groups.length; mask++) {
    const chosen = groups.filter(
      (group, index) => isWhole(group) || Math.floor(mask / 2 ** index) % 2 === 1,
    );
    const size = chosen.reduce((sum, { members }) => sum + members.length, 0);
    if (size <= alive) best = Math.max(best, sumWeight(input, chosen));
  }
  return best;
}

const smallCase = fc.record({
  replicas: fc.array(
    fc.record({ members: fc.integer({ min: 1, max: 4 }), weight: fc.integer({ min: 0, max: 9 }) }),
    { minLength: 1, maxLength: 5 },
  ),
  spares: fc.integer({ min: 0, max: 3 }),
  lost: fc.array(fc.boolean(), { minLength: 0, maxLength: 23 }),
});

describe(`planGroups against exhaustive search, seed ${SEED}`, () => {
  // Guards against a plan that restores less served weight than possible, or that interrupts a
  // complete group to restore more.
  it('restores as much served weight as the best plan', () => {
    const check = (small: SmallCase): void => {
      const input = buildSmallInput(small);
      const events = planGroups(input).flatMap((action) =>
        action.kind === PlanActionKind.ChangeAllocation ? [action.event] : [],
      );
      const after = events.reduce(applyAllocationEvent, input.allocation);
      const complete = after.groups.filter(({ members }) =>
        members.every((vm) => !isLost(input, vm)),
      );
      expect(sumWeight(input, complete)).toEqual(computeBestWeight(input));
      expect(after.groups.length).toEqual(complete.length);
    };
    fc.assert(fc.property(smallCase, check), { seed: SEED, numRuns: RUNS });
  });
});

describe('planGroups with a slow weight store', () => {
  const DECLARED = [
    { name: 'small', members: 2, replicas: 1, weight: 3 },
    { name: 'large', members: 4, replicas: 1, weight: 20 },
    { name: 'heavy', members: 2, replicas: 1, weight: 4 },
  ];

  function listFormed(maxLoadsInFlight: number, largeBytes: number): string[] {
    const vms = Array.from({ length: 8 }, (_, index) => `vm-${index}`);
    const input = buildPlanningInput(buildAllocation(vms, []), buildConfiguration(DECLARED));
    const home = { fabricDomain: 'fd-a', epoch: 1, version: 9 };
    const actions = planGroups({
      ...input,
      replicaHomes: new Map(DECLARED.map(({ name }) => [`${name}-0`, home])),
      memberBytes: new Map([['model-large', largeBytes]]),
      limits: { ...input.limits, maxLoadsInFlight },
    });
    return actions.flatMap((action) => {
      if (action.kind !== PlanActionKind.ChangeAllocation) return [];
      const { event } = action;
      return event.kind === AllocationEventKind.GroupFormed ? [event.group.name] : [];
    });
  }

  const cases = [
    {
      title: 'starts all within the load limit',
      loads: 8,
      bytes: 1,
      expected: ['large-0', 'heavy-0', 'small-0'],
    },
    { title: 'starts the most weight per byte first', loads: 4, bytes: 1, expected: ['large-0'] },
    {
      title: 'takes the size of a model into account',
      loads: 4,
      bytes: 9,
      expected: ['heavy-0', 'small-0'],
    },
    {
      title: 'always starts one, even above the load limit',
      loads: 1,
      bytes: 1,
      expected: ['large-0'],
    },
  ];

  for (const testCase of cases) {
    // Guards against so many concurrent loads that they delay each other and no group serves early.
    it(testCase.title, () => {
      expect(listFormed(testCase.loads, testCase.bytes)).toEqual(testCase.expected);
    });
  }
});
