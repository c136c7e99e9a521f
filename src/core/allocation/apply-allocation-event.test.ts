import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ErrorKind } from '../errors/index.ts';
import type { AllocationEvent } from './index.ts';
import {
  AllocationEventKind,
  applyAllocationEvent,
  assertAllocationFits,
  createAllocation,
  GroupState,
  isHomeOwned,
  measureAllocation,
} from './index.ts';
import { catchError } from '../errors/fixtures/catch-error.ts';

const ENTRY = { address: '127.0.0.1', port: 9000, availabilityZone: 'sofia-a', leaving: false };
const EMPTY = createAllocation('fd-a', { holder: 'first', vm: 'entry-a', durationMs: 30_000 });

const buildVmAdopted = (vm: string): AllocationEvent => ({
  kind: AllocationEventKind.VmAdopted,
  vm: { vm, ...ENTRY },
});
const buildGroupFormed = (name: string, members: string[]): AllocationEvent => ({
  kind: AllocationEventKind.GroupFormed,
  group: {
    name,
    servingGroup: 'assistant',
    model: 'm',
    modelVersion: '1',
    generation: 7,
    members,
  },
});
const buildGroupReformed = (group: string, members: string[]): AllocationEvent => ({
  kind: AllocationEventKind.GroupReformed,
  group,
  model: 'm',
  modelVersion: '1',
  members,
});
const BASE_EVENTS = [
  buildVmAdopted('vm-1'),
  buildVmAdopted('vm-2'),
  buildVmAdopted('vm-3'),
  buildGroupFormed('assistant-0', ['vm-1', 'vm-2']),
];

interface Case {
  title: string;
  events: AllocationEvent[];
  /** Group of each VM after the events, or a part of the expected error message. */
  expected: Record<string, string | null> | string;
}

// Guards against a VM that is in two groups and a group that lists VMs outside the allocation.
const cases: Case[] = [
  {
    title: 'assigns members',
    events: [],
    expected: { 'vm-1': 'assistant-0', 'vm-2': 'assistant-0', 'vm-3': null },
  },
  {
    title: 'refuses a VM of another group',
    events: [buildGroupFormed('assistant-1', ['vm-2', 'vm-3'])],
    expected: 'VM vm-2 is a member of assistant-0',
  },
  {
    title: 'refuses a VM that was not adopted',
    events: [buildGroupFormed('assistant-1', ['vm-9'])],
    expected: 'VM vm-9 is not in the allocation',
  },
  {
    title: 'refuses a repeated member',
    events: [buildGroupFormed('assistant-1', ['vm-3', 'vm-3'])],
    expected: 'assistant-1 repeats a member',
  },
  {
    title: 'turns a replaced member into a spare',
    events: [buildGroupReformed('assistant-0', ['vm-1', 'vm-3'])],
    expected: { 'vm-1': 'assistant-0', 'vm-2': null, 'vm-3': 'assistant-0' },
  },
  {
    title: 'refuses to remove a member',
    events: [{ kind: AllocationEventKind.VmRemoved, vm: 'vm-1' }],
    expected: 'VM vm-1 is a member of group assistant-0',
  },
  {
    title: 'removes a group and then its members',
    events: [
      { kind: AllocationEventKind.GroupRemoved, group: 'assistant-0' },
      { kind: AllocationEventKind.VmRemoved, vm: 'vm-1' },
    ],
    expected: { 'vm-2': null, 'vm-3': null },
  },
  {
    title: 'refuses a state of another generation',
    events: [
      buildGroupReformed('assistant-0', ['vm-1', 'vm-3']),
      {
        kind: AllocationEventKind.GroupStateChanged,
        group: 'assistant-0',
        generation: 7,
        state: GroupState.Serving,
      },
    ],
    expected: 'assistant-0 is at generation 8, not 7',
  },
  {
    title: 'refuses a second adoption',
    events: [buildVmAdopted('vm-1')],
    expected: 'VM vm-1 is already adopted',
  },
];

describe('applyAllocationEvent', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      const run = (): Record<string, string | null> => {
        const { vms } = [...BASE_EVENTS, ...testCase.events].reduce(applyAllocationEvent, EMPTY);
        return Object.fromEntries(Object.values(vms).map(({ vm, group }) => [vm, group]));
      };
      if (typeof testCase.expected !== 'string') {
        expect(run()).toEqual(testCase.expected);
        return;
      }
      const message = expect.includes(testCase.expected);
      expect(catchError(run)).toEqual(
        expect.subset({ kind: ErrorKind.AllocationChangeRefused, message }),
      );
    });
  }
});

describe('assertAllocationFits', () => {
  // Guards against a write that the platform rejects because of its size.
  it('fails past the limit and passes at the limit', () => {
    const allocation = BASE_EVENTS.reduce(applyAllocationEvent, EMPTY);
    const bytes = measureAllocation(allocation);
    assertAllocationFits(allocation, bytes);
    expect(catchError(() => assertAllocationFits(allocation, bytes - 1))).toEqual(
      expect.subset({ kind: ErrorKind.AllocationTooLarge }),
    );
  });
});

describe('isHomeOwned', () => {
  // Guards against adopting a VM whose home an earlier lease holder may still delete.
  it('requires the same fabric domain and the current epoch', () => {
    const home = { fabricDomain: 'fd-a', epoch: 2 };
    const results = [
      isHomeOwned(home, 'fd-a', 2),
      isHomeOwned(home, 'fd-a', 3),
      isHomeOwned(home, 'fd-b', 2),
      isHomeOwned(undefined, 'fd-a', 2),
    ];
    expect(results).toEqual([true, false, false, false]);
  });
});
