import { create } from '@bufbuild/protobuf';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GroupState } from '../allocation/index.ts';
import type { TargetReport } from '../rpc/index.ts';
import { TargetLoadSchema, TargetReportSchema, TargetState } from '../rpc/index.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';
import {
  buildTestAllocation,
  buildTestConfiguration,
  createFakeDocuments,
} from './fixtures/fake-documents.ts';
import type { FakeDocuments, TestGroup } from './fixtures/fake-documents.ts';
import { createTargetDirectory } from './index.ts';

const VERSION = 5;
const GROUP: TestGroup = { name: 'assist-1', members: ['vm-1a', 'vm-2a'], generation: 3 };

function buildReports(
  change: Partial<Record<string, Partial<TargetReport>>> = {},
): Map<string, TargetReport> {
  const reports = GROUP.members.map((vm, rank) =>
    create(TargetReportSchema, {
      vm,
      state: TargetState.WARM,
      instanceId: 'i-1',
      group: GROUP.name,
      generation: 3n,
      rank,
      allocationVersion: BigInt(VERSION),
      ...change[vm],
    } as TargetReport),
  );
  return new Map(reports.map((report) => [report.vm, report]));
}

interface Case {
  title: string;
  reports?: Map<string, TargetReport>;
  change?: (documents: FakeDocuments) => void;
  expected: string[];
}

// Guards against routing to a group that is incomplete, leaving or in a disabled zone (I1, I4, I8).
const cases: Case[] = [
  { title: 'lists a group when all members are ready', expected: ['assist-1'] },
  {
    title: 'does not list a group with an unreachable member',
    reports: buildReports({ 'vm-2a': { state: TargetState.UNREACHABLE } }),
    expected: [],
  },
  {
    title: 'does not list a group with a member that is loading',
    reports: buildReports({ 'vm-2a': { state: TargetState.LOADING } }),
    expected: [],
  },
  {
    title: 'does not list a group with a member of another generation',
    reports: buildReports({ 'vm-2a': { generation: 2n } }),
    expected: [],
  },
  {
    title: 'does not list a group with a member of another group',
    reports: buildReports({ 'vm-2a': { group: 'assist-2' } }),
    expected: [],
  },
  {
    title: 'does not list a group with a member of another rank',
    reports: buildReports({ 'vm-2a': { rank: 0 } }),
    expected: [],
  },
  {
    title: 'does not list a group based on a query sent before the allocation was read',
    reports: buildReports({ 'vm-2a': { allocationVersion: BigInt(VERSION - 1) } }),
    expected: [],
  },
  {
    title: 'keeps a group listed when only the lease was renewed',
    change: (documents) => documents.setAllocation(VERSION + 1, buildTestAllocation([GROUP])),
    expected: ['assist-1'],
  },
  {
    title: 'does not list a group of a new generation based on reports of the old one',
    change: (documents) =>
      documents.setAllocation(VERSION + 1, buildTestAllocation([{ ...GROUP, generation: 4 }])),
    expected: [],
  },
  {
    title: 'does not list a draining group',
    change: (documents) =>
      documents.setAllocation(
        VERSION + 1,
        buildTestAllocation([{ ...GROUP, state: GroupState.Draining }]),
      ),
    expected: [],
  },
  {
    title: 'does not list a group with a leaving member',
    change: (documents) =>
      documents.setAllocation(VERSION + 1, buildTestAllocation([GROUP], { leaving: ['vm-2a'] })),
    expected: [],
  },
  {
    title: 'does not list a group in an availability zone that is out',
    change: (documents) =>
      documents.setConfiguration(
        2,
        buildTestConfiguration({
          availabilityZones: [
            { name: 'sofia-a', region: 'sofia', state: AvailabilityZoneState.Out },
          ],
        }),
      ),
    expected: [],
  },
];

describe('createTargetDirectory', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      const documents = createFakeDocuments();
      const reports = testCase.reports ?? buildReports();
      const directory = createTargetDirectory({
        documents,
        health: { getReport: (vm) => reports.get(vm) },
        countSharingDaemons: () => 4,
      });
      documents.setConfiguration(1, buildTestConfiguration());
      documents.setAllocation(VERSION, buildTestAllocation([GROUP]));
      directory.listModelTargets('orchard', 'assist-7b');
      testCase.change?.(documents);
      const listed = directory.listModelTargets('orchard', 'assist-7b').map(({ id }) => id);
      expect(listed).toEqual(testCase.expected);
    });
  }

  // Guards against calls to a leaving service (I8), and against unlimited concurrent calls.
  it('lists services that are not leaving, with their limit of concurrent calls', () => {
    const documents = createFakeDocuments();
    const load = { running: 2, queued: 1, heldTokens: 0n, capacityTokens: 0n, coldLimit: 1 };
    const answered = create(TargetReportSchema, {
      vm: 'order-1',
      state: TargetState.WARM,
      instanceId: 'i-1',
      load: create(TargetLoadSchema, load),
    });
    const directory = createTargetDirectory({
      documents,
      health: { getReport: () => answered },
      countSharingDaemons: () => 4,
    });
    const target = { address: '127.0.0.1', port: 9_100, availabilityZone: 'sofia-b' };
    const service = {
      name: 'order-app',
      targets: ['order-1', 'order-2'].map((vm) => ({ vm, ...target })),
      coldLimit: 1,
      concurrentCalls: 16,
      fabricDomain: 'fabric-1',
    };
    const route = { customer: 'orchard', name: 'orders', servingGroups: [], service: 'order-app' };
    documents.setConfiguration(1, buildTestConfiguration({ services: [service], routes: [route] }));
    documents.setAllocation(VERSION, {
      ...buildTestAllocation([GROUP]),
      leavingServices: ['order-2'],
    });
    const targets = directory.listServiceTargets('orchard', 'orders');
    expect(targets.map(({ id }) => id)).toEqual(['order-1']);
    expect(targets[0]?.load).toEqual(
      expect.subset({ heldTokens: 3, capacityTokens: 16, running: 2 }),
    );
  });

  it('uses the weight row of a group, and 0 when only other groups have rows', () => {
    const documents = createFakeDocuments();
    const reports = buildReports();
    const directory = createTargetDirectory({
      documents,
      health: { getReport: (vm) => reports.get(vm) },
      countSharingDaemons: () => 4,
    });
    const row = { customer: 'orchard', route: 'assist-7b', servingGroup: 'assist', weight: 30 };
    documents.setAllocation(VERSION, buildTestAllocation([GROUP]));
    documents.setConfiguration(1, buildTestConfiguration({ weights: [row] }));
    expect(directory.listModelTargets('orchard', 'assist-7b')[0]?.weight).toEqual(30);
    const other = { ...row, servingGroup: 'other' };
    documents.setConfiguration(2, buildTestConfiguration({ weights: [other] }));
    expect(directory.listModelTargets('orchard', 'assist-7b')[0]?.weight).toEqual(0);
  });
});
