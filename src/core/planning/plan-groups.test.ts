import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GroupState } from '../allocation/index.ts';
import { EnginePhase, VmRole, VmState } from '../domain-types/index.ts';
import { planGroups } from './index.ts';
import {
  buildAllocation,
  buildConfiguration,
  buildGroup,
  buildMemberView,
  buildStatus,
  buildView,
  buildVm,
  buildPlanningInput,
  DOMAIN,
  formatAction,
} from './planning-fixture.ts';
import type { PlanningInput, VmView } from './types.ts';
import { VmHealth } from './types.ts';

const ASSISTANT = { name: 'assistant', members: 2, replicas: 1, weight: 10 };
const CONFIGURATION = buildConfiguration([ASSISTANT]);
const GROUP = buildGroup('assistant', 0, ['vm-1', 'vm-2']);
const INPUT_WITH_SPARE = buildPlanningInput(
  buildAllocation(['vm-1', 'vm-2', 'vm-3'], [GROUP]),
  CONFIGURATION,
);
const LOST = buildView(buildStatus(), { health: VmHealth.Lost });
const UNKNOWN = buildView(buildStatus(), { health: VmHealth.Unknown });
const HOME = { fabricDomain: DOMAIN, epoch: 1, version: 40 };

function withViews(input: PlanningInput, views: Record<string, VmView>): PlanningInput {
  return { ...input, views: new Map([...input.views, ...Object.entries(views)]) };
}

function withState(state: GroupState): PlanningInput {
  const group = { ...GROUP, state };
  const allocation = buildAllocation(['vm-1', 'vm-2', 'vm-3'], [group]);
  return buildPlanningInput(allocation, CONFIGURATION);
}

const LEAVING_VMS = [buildVm('vm-1'), buildVm('vm-2', { state: VmState.Leaving }), buildVm('vm-3')];
const LOADED_SPARE = buildView(
  buildStatus({ phase: EnginePhase.Ready, model: 'model-assistant', modelVersion: '1' }),
);
const RUNNING = buildMemberView(GROUP, 0);

interface Case {
  title: string;
  input: PlanningInput;
  expected: string[];
}

// Guards against a planner that interrupts a complete group, leaves a damaged group unrepaired, or
// skips a step when it moves a VM or a replica.
const cases: Case[] = [
  { title: 'does not change a complete group', input: INPUT_WITH_SPARE, expected: [] },
  {
    title: 'keeps the survivor at its rank and adds a spare',
    input: withViews(INPUT_WITH_SPARE, { 'vm-1': LOST }),
    expected: ['group-reformed assistant-0 vm-3 vm-2'],
  },
  {
    title: 'prefers a spare that holds the weights',
    input: withViews(
      buildPlanningInput(buildAllocation(['vm-1', 'vm-2', 'vm-3', 'vm-4'], [GROUP]), CONFIGURATION),
      { 'vm-2': LOST, 'vm-4': LOADED_SPARE },
    ),
    expected: ['group-reformed assistant-0 vm-1 vm-4'],
  },
  {
    title: 'removes a group without a spare, so that another domain can form it',
    input: withViews(
      buildPlanningInput(buildAllocation(['vm-1', 'vm-2'], [GROUP]), CONFIGURATION),
      {
        'vm-1': LOST,
      },
    ),
    expected: ['group-removed assistant-0'],
  },
  {
    title: 'waits for the first probe of a spare before it removes a group',
    input: withViews(INPUT_WITH_SPARE, { 'vm-1': LOST, 'vm-3': UNKNOWN }),
    expected: ['group-state-changed assistant-0 forming'],
  },
  {
    title: 'does nothing to a group whose members are not probed yet',
    input: withViews(INPUT_WITH_SPARE, {
      'vm-1': { ...buildMemberView(GROUP, 0), health: VmHealth.Unknown },
    }),
    expected: [],
  },
  {
    title: 'drains a group with a leaving member',
    input: { ...INPUT_WITH_SPARE, vms: LEAVING_VMS },
    expected: ['vm-updated vm-2', 'group-state-changed assistant-0 draining'],
  },
  {
    title: 'keeps draining while requests run',
    input: withViews(
      {
        ...withState(GroupState.Draining),
        vms: LEAVING_VMS,
        drainingSinceMs: new Map([['assistant-0', 900_000]]),
      },
      {
        'vm-1': {
          ...RUNNING,
          queriedMs: 999_000,
          status: buildStatus({ ...RUNNING.status, load: { ...buildStatus().load, running: 1 } }),
        },
      },
    ),
    expected: ['vm-updated vm-2'],
  },
  {
    title: 'replaces the leaving member after the drain',
    input: withViews(
      {
        ...withState(GroupState.Draining),
        vms: LEAVING_VMS,
        drainingSinceMs: new Map([['assistant-0', 900_000]]),
      },
      { 'vm-1': { ...RUNNING, queriedMs: 905_000 } },
    ),
    expected: ['vm-updated vm-2', 'group-reformed assistant-0 vm-1 vm-3'],
  },
  {
    title: 'ignores an idle status from before all daemons saw the drain',
    input: withViews(
      {
        ...withState(GroupState.Draining),
        vms: LEAVING_VMS,
        drainingSinceMs: new Map([['assistant-0', 900_000]]),
      },
      { 'vm-1': { ...RUNNING, queriedMs: 904_999 } },
    ),
    expected: ['vm-updated vm-2'],
  },
  {
    title: 'removes a leaving spare',
    input: { ...INPUT_WITH_SPARE, vms: [buildVm('vm-1'), buildVm('vm-2')] },
    expected: ['vm-removed vm-3'],
  },
  {
    title: 'lists the leaving services of the domain',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [
        ...INPUT_WITH_SPARE.vms,
        buildVm('order-1', { role: VmRole.Service, state: VmState.Leaving }),
        buildVm('order-2', { role: VmRole.Service }),
        buildVm('order-3', { role: VmRole.Service, state: VmState.Leaving, fabricDomain: 'fd-b' }),
      ],
    },
    expected: ['leaving-services-changed order-1'],
  },
  {
    title: 'removes a service from the leaving services when it no longer leaves',
    input: {
      ...INPUT_WITH_SPARE,
      allocation: { ...INPUT_WITH_SPARE.allocation, leavingServices: ['order-1'] },
      vms: [...INPUT_WITH_SPARE.vms, buildVm('order-1', { role: VmRole.Service })],
    },
    expected: ['leaving-services-changed'],
  },
  {
    title:
      'releases the home of a VM that moved to another domain, once it is not in the allocation',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9', { fabricDomain: 'fd-b' })],
      vmHomes: new Map([...INPUT_WITH_SPARE.vmHomes, ['vm-9', HOME]]),
    },
    expected: ['release-vm vm-9'],
  },
  {
    title: 'does not change homes of a later epoch',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9', { fabricDomain: 'fd-b' }), buildVm('vm-8')],
      vmHomes: new Map([
        ['vm-9', { ...HOME, epoch: 2 }],
        ['vm-8', { ...HOME, epoch: 2 }],
      ]),
      replicaHomes: new Map([
        ...INPUT_WITH_SPARE.replicaHomes,
        ['assistant-7', { ...HOME, epoch: 2 }],
      ]),
    },
    expected: [],
  },
  {
    title: 'claims the home of a new VM first',
    input: { ...INPUT_WITH_SPARE, vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9')] },
    expected: ['claim-vm vm-9'],
  },
  {
    title: 'claims a home of an earlier epoch again at this epoch',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9')],
      vmHomes: new Map([['vm-9', { ...HOME, epoch: 0 }]]),
    },
    expected: ['claim-vm vm-9'],
  },
  {
    title: 'waits while another domain holds the home of a VM',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9')],
      vmHomes: new Map([['vm-9', { ...HOME, fabricDomain: 'fd-b' }]]),
    },
    expected: [],
  },
  {
    title: 'adopts a VM whose home it owns',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9')],
      vmHomes: new Map([['vm-9', HOME]]),
    },
    expected: ['vm-adopted vm-9'],
  },
  {
    title: 'does not adopt VMs beyond the maximum size of an allocation',
    input: {
      ...INPUT_WITH_SPARE,
      vms: [...INPUT_WITH_SPARE.vms, buildVm('vm-9')],
      limits: { ...INPUT_WITH_SPARE.limits, maxAllocationBytes: 100 },
    },
    expected: ['report-too-large'],
  },
  {
    title: 'claims a replica without a home after the delay of its rank',
    input: {
      ...buildPlanningInput(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      unplacedSinceMs: new Map([['assistant-0', 0]]),
    },
    expected: ['claim-replica assistant-0'],
  },
  {
    title: 'forms a replica that it owns, with a higher generation than all earlier ones',
    input: {
      ...buildPlanningInput(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', HOME]]),
    },
    expected: ['group-formed assistant-0@40 vm-1 vm-2'],
  },
  {
    title: 'claims a replica home of an earlier epoch again before forming',
    input: {
      ...buildPlanningInput(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', { ...HOME, epoch: 0 }]]),
    },
    expected: ['claim-replica assistant-0'],
  },
  {
    title: 'releases a replica that it cannot form',
    input: {
      ...buildPlanningInput(buildAllocation(['vm-1'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', HOME]]),
    },
    expected: ['release-replica assistant-0'],
  },
  {
    title: 'does not claim a replica of another domain',
    input: {
      ...buildPlanningInput(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', { ...HOME, fabricDomain: 'fd-b' }]]),
      unplacedSinceMs: new Map([['assistant-0', 0]]),
    },
    expected: [],
  },
  {
    title: 'drains a replica that is no longer declared',
    input: {
      ...INPUT_WITH_SPARE,
      configuration: buildConfiguration([{ ...ASSISTANT, replicas: 0 }]),
    },
    expected: ['group-state-changed assistant-0 draining'],
  },
  {
    title: 'drains groups of an availability zone that is taken out',
    input: { ...INPUT_WITH_SPARE, configuration: buildConfiguration([ASSISTANT], ['sofia-a']) },
    expected: ['group-state-changed assistant-0 draining'],
  },
  {
    title: 'returns a draining group to forming when the availability zone is back in',
    input: withState(GroupState.Draining),
    expected: ['group-state-changed assistant-0 forming'],
  },
  {
    title: 'drains a replica to update its model version',
    input: {
      ...INPUT_WITH_SPARE,
      configuration: buildConfiguration([{ ...ASSISTANT, modelVersion: '2' }]),
    },
    expected: ['group-state-changed assistant-0 draining'],
  },
  {
    title: 'delays a version update until the lower-numbered replica in another domain is updated',
    input: {
      ...buildPlanningInput(
        buildAllocation(['vm-1', 'vm-2'], [buildGroup('assistant', 1, ['vm-1', 'vm-2'])]),
        buildConfiguration([{ ...ASSISTANT, replicas: 2, modelVersion: '2' }]),
      ),
      replicaHomes: new Map([['assistant-0', { ...HOME, fabricDomain: 'fd-b' }]]),
      peerGroups: [buildGroup('assistant', 0, ['vm-7', 'vm-8'])],
    },
    expected: [],
  },
  {
    title: 'delays a version update until the groups of other domains are read',
    input: {
      ...INPUT_WITH_SPARE,
      configuration: buildConfiguration([{ ...ASSISTANT, modelVersion: '2' }]),
      peerGroups: undefined,
    },
    expected: [],
  },
  {
    title: 'serves after all members have confirmed the group',
    input: withState(GroupState.Forming),
    expected: ['group-state-changed assistant-0 serving'],
  },
  {
    title: 'does not serve based on a status from before the last order to another member',
    input: withViews(withState(GroupState.Forming), {
      'vm-1': {
        ...RUNNING,
        querySequence: 4,
        order: { group: 'assistant-0', generation: 5, sequence: 3 },
      },
    }),
    expected: [],
  },
  {
    title: 'sends the orders again after a lease takeover and keeps serving',
    input: withViews(INPUT_WITH_SPARE, { 'vm-1': { ...RUNNING, order: undefined } }),
    expected: ['send-order vm-1 assistant-0@5 rank 0'],
  },
  {
    title: 'stops serving and sends the order again when a member has restarted',
    input: withViews(INPUT_WITH_SPARE, {
      'vm-1': { ...RUNNING, status: buildStatus({ instanceId: 'other' }) },
    }),
    expected: ['group-state-changed assistant-0 forming', 'send-order vm-1 assistant-0@5 rank 0'],
  },
  {
    title: 'empties a spare that failed',
    input: withViews(INPUT_WITH_SPARE, {
      'vm-3': buildView(buildStatus({ phase: EnginePhase.Failed, model: 'model-assistant' })),
    }),
    expected: ['send-order vm-3 empty@0 rank 0'],
  },
  {
    title: 'keeps the weights of a spare',
    input: withViews(INPUT_WITH_SPARE, { 'vm-3': LOADED_SPARE }),
    expected: [],
  },
];

describe('planGroups', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      expect(planGroups(testCase.input).map(formatAction)).toEqual(testCase.expected);
    });
  }
});
