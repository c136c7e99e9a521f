import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MemberState } from '../rpc/index.ts';
import type { Vm } from '../domain-types/index.ts';
import { VmRole, VmState } from '../domain-types/index.ts';
import type { ConvergenceInput, ConvergenceReport } from './convergence.ts';
import { ChangeState, computeConvergence } from './convergence.ts';
import type { DaemonStatusResult } from './daemons.ts';
import { buildStatus } from './fixtures/status.ts';

const VM: Vm = {
  name: 'entry-3',
  address: '10.0.0.3',
  port: 7_301,
  availabilityZone: 'sofia-a',
  region: 'sofia',
  fabricDomain: 'entry',
  role: VmRole.Entry,
  accelerators: 0,
  state: VmState.Live,
};

function createStatusResult(name: string, version: number, allocations = {}): DaemonStatusResult {
  const status = buildStatus(name, version, { allocations });
  const address = `10.0.0.${name.at(-1)}`;
  return { name, address, port: 7_301, membership: MemberState.ALIVE, status };
}

function createUnreachableResult(
  name: string | undefined,
  membership?: MemberState,
): DaemonStatusResult {
  return { name, address: VM.address, port: 7_301, membership, problem: 'no answer' };
}

const CURRENT = [createStatusResult('entry-1', 8), createStatusResult('entry-2', 8)];

interface Case {
  title: string;
  input: Partial<ConvergenceInput>;
  expected: Pick<ConvergenceReport, 'state' | 'version' | 'missing'>;
}

// Guards against reporting a change as settled while a daemon still has an older version.
const cases: Case[] = [
  {
    title: 'settled when every daemon has the version',
    input: {},
    expected: { state: ChangeState.Settled, version: 8, missing: [] },
  },
  {
    title: 'settled when a daemon already has a later version',
    input: { statusResults: [...CURRENT, createStatusResult('entry-3', 9)] },
    expected: { state: ChangeState.Settled, version: 8, missing: [] },
  },
  {
    title: 'settled before the first change',
    input: { versionInForce: 0, statusResults: [createStatusResult('entry-1', 0)] },
    expected: { state: ChangeState.Settled, version: 0, missing: [] },
  },
  {
    title: 'half-way when a daemon has an older version',
    input: { statusResults: [...CURRENT, createStatusResult('entry-3', 7)] },
    expected: { state: ChangeState.HalfWay, version: 8, missing: ['entry-3'] },
  },
  {
    title: 'half-way when a daemon does not answer',
    input: { statusResults: [...CURRENT, createUnreachableResult('entry-3', MemberState.ALIVE)] },
    expected: { state: ChangeState.HalfWay, version: 8, missing: ['entry-3'] },
  },
  {
    title: 'half-way when a dead daemon still has its VM',
    input: {
      statusResults: [...CURRENT, createUnreachableResult('entry-3', MemberState.DEAD)],
      vms: [VM],
    },
    expected: { state: ChangeState.HalfWay, version: 8, missing: ['entry-3'] },
  },
  {
    title: 'half-way when a daemon is dead and the VM list cannot be read',
    input: {
      statusResults: [...CURRENT, createUnreachableResult('entry-3', MemberState.DEAD)],
      vms: undefined,
    },
    expected: { state: ChangeState.HalfWay, version: 8, missing: ['entry-3'] },
  },
  {
    title: 'settled when the VM of a dead daemon no longer exists',
    input: { statusResults: [...CURRENT, createUnreachableResult('entry-3', MemberState.DEAD)] },
    expected: { state: ChangeState.Settled, version: 8, missing: [] },
  },
  {
    title: 'settled when a configured address no longer has a VM',
    input: { statusResults: [...CURRENT, createUnreachableResult(undefined)] },
    expected: { state: ChangeState.Settled, version: 8, missing: [] },
  },
  {
    title: 'half-way when a configured address does not answer and has a VM',
    input: { statusResults: [...CURRENT, createUnreachableResult(undefined)], vms: [VM] },
    expected: { state: ChangeState.HalfWay, version: 8, missing: ['10.0.0.3:7301'] },
  },
  {
    title: 'half-way when no daemon is known on an entry VM',
    input: { vms: [VM] },
    expected: { state: ChangeState.HalfWay, version: 8, missing: ['entry-3'] },
  },
  {
    title: 'not started when no daemon has the version',
    input: { versionInForce: 9 },
    expected: { state: ChangeState.NotStarted, version: 9, missing: ['entry-1', 'entry-2'] },
  },
  {
    title: 'not started when no daemon is known',
    input: { statusResults: [] },
    expected: { state: ChangeState.NotStarted, version: 8, missing: [] },
  },
  {
    title: 'unknown while the object API does not answer',
    input: {
      versionInForce: undefined,
      statusResults: [...CURRENT, createStatusResult('entry-3', 7)],
    },
    expected: { state: ChangeState.Unknown, version: 8, missing: ['entry-3'] },
  },
];

describe('computeConvergence', () => {
  for (const { title, input, expected } of cases) {
    it(`is ${title}`, () => {
      const { state, version, missing } = computeConvergence({
        versionInForce: 8,
        vms: [],
        statusResults: CURRENT,
        ...input,
      });
      expect({ state, version, missing }).toEqual(expected);
    });
  }

  it('names the allocations that a daemon holds at an older version', () => {
    const results = [
      createStatusResult('entry-1', 8, { 'fabric-1': 20, 'fabric-2': 30 }),
      createStatusResult('entry-2', 8, { 'fabric-1': 19 }),
    ];
    const { daemons } = computeConvergence({ versionInForce: 8, vms: [], statusResults: results });
    expect(daemons.map(({ allocationsBehind }) => allocationsBehind)).toEqual([
      [],
      ['fabric-1', 'fabric-2'],
    ]);
  });
});
