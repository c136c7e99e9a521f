import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GroupState } from '../allocation/index.ts';
import { EnginePhase, VmRole, VmState } from '../world/index.ts';
import { planGroups } from './index.ts';
import {
  buildAllocation,
  buildConfiguration,
  buildGroup,
  buildMemberView,
  buildStatus,
  buildView,
  buildVm,
  buildWorld,
  DOMAIN,
  formatAction,
} from './planning-fixture.ts';
import type { PlanningWorld, VmView } from './types.ts';
import { VmHealth } from './types.ts';

const ASSISTANT = { name: 'assistant', members: 2, replicas: 1, weight: 10 };
const CONFIGURATION = buildConfiguration([ASSISTANT]);
const GROUP = buildGroup('assistant', 0, ['vm-1', 'vm-2']);
const SPARE_WORLD = buildWorld(buildAllocation(['vm-1', 'vm-2', 'vm-3'], [GROUP]), CONFIGURATION);
const LOST = buildView(buildStatus(), { health: VmHealth.Lost });
const UNKNOWN = buildView(buildStatus(), { health: VmHealth.Unknown });
const HOME = { fabricDomain: DOMAIN, epoch: 1, version: 40 };

function withViews(world: PlanningWorld, views: Record<string, VmView>): PlanningWorld {
  return { ...world, views: new Map([...world.views, ...Object.entries(views)]) };
}

function withState(state: GroupState): PlanningWorld {
  const group = { ...GROUP, state };
  const allocation = buildAllocation(['vm-1', 'vm-2', 'vm-3'], [group]);
  return buildWorld(allocation, CONFIGURATION);
}

const LEAVING_VMS = [buildVm('vm-1'), buildVm('vm-2', { state: VmState.Leaving }), buildVm('vm-3')];
const LOADED_SPARE = buildView(
  buildStatus({ phase: EnginePhase.Ready, model: 'model-assistant', modelVersion: '1' }),
);
const RUNNING = buildMemberView(GROUP, 0);

interface Case {
  title: string;
  world: PlanningWorld;
  expected: string[];
}

// Guards against a planner that breaks a whole group, leaves one broken, or skips a step of a move.
const cases: Case[] = [
  { title: 'leaves a whole group alone', world: SPARE_WORLD, expected: [] },
  {
    title: 'keeps the survivor at its rank and adds a spare',
    world: withViews(SPARE_WORLD, { 'vm-1': LOST }),
    expected: ['group-reformed assistant-0 vm-3 vm-2'],
  },
  {
    title: 'prefers a spare that holds the weights',
    world: withViews(
      buildWorld(buildAllocation(['vm-1', 'vm-2', 'vm-3', 'vm-4'], [GROUP]), CONFIGURATION),
      { 'vm-2': LOST, 'vm-4': LOADED_SPARE },
    ),
    expected: ['group-reformed assistant-0 vm-1 vm-4'],
  },
  {
    title: 'removes a group without a spare, so that another domain can form it',
    world: withViews(buildWorld(buildAllocation(['vm-1', 'vm-2'], [GROUP]), CONFIGURATION), {
      'vm-1': LOST,
    }),
    expected: ['group-removed assistant-0'],
  },
  {
    title: 'waits for the first probe of a spare before it removes a group',
    world: withViews(SPARE_WORLD, { 'vm-1': LOST, 'vm-3': UNKNOWN }),
    expected: ['group-state-changed assistant-0 forming'],
  },
  {
    title: 'does nothing to a group whose members are not probed yet',
    world: withViews(SPARE_WORLD, {
      'vm-1': { ...buildMemberView(GROUP, 0), health: VmHealth.Unknown },
    }),
    expected: [],
  },
  {
    title: 'drains a group with a leaving member',
    world: { ...SPARE_WORLD, vms: LEAVING_VMS },
    expected: ['vm-updated vm-2', 'group-state-changed assistant-0 draining'],
  },
  {
    title: 'keeps draining while requests run',
    world: withViews(
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
    world: withViews(
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
    title: 'ignores an idle answer from before daemons saw the drain',
    world: withViews(
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
    world: { ...SPARE_WORLD, vms: [buildVm('vm-1'), buildVm('vm-2')] },
    expected: ['vm-removed vm-3'],
  },
  {
    title: 'names the services of the domain that leave',
    world: {
      ...SPARE_WORLD,
      vms: [
        ...SPARE_WORLD.vms,
        buildVm('order-1', { role: VmRole.Service, state: VmState.Leaving }),
        buildVm('order-2', { role: VmRole.Service }),
        buildVm('order-3', { role: VmRole.Service, state: VmState.Leaving, fabricDomain: 'fd-b' }),
      ],
    },
    expected: ['leaving-services-changed order-1'],
  },
  {
    title: 'takes a service back that stays after all',
    world: {
      ...SPARE_WORLD,
      allocation: { ...SPARE_WORLD.allocation, leavingServices: ['order-1'] },
      vms: [...SPARE_WORLD.vms, buildVm('order-1', { role: VmRole.Service })],
    },
    expected: ['leaving-services-changed'],
  },
  {
    title: 'releases the home of a VM that moved, after it left the allocation',
    world: {
      ...SPARE_WORLD,
      vms: [...SPARE_WORLD.vms, buildVm('vm-9', { fabricDomain: 'fd-b' })],
      vmHomes: new Map([...SPARE_WORLD.vmHomes, ['vm-9', HOME]]),
    },
    expected: ['release-vm vm-9'],
  },
  {
    title: 'leaves homes of a later epoch to the next holder',
    world: {
      ...SPARE_WORLD,
      vms: [...SPARE_WORLD.vms, buildVm('vm-9', { fabricDomain: 'fd-b' }), buildVm('vm-8')],
      vmHomes: new Map([
        ['vm-9', { ...HOME, epoch: 2 }],
        ['vm-8', { ...HOME, epoch: 2 }],
      ]),
      replicaHomes: new Map([...SPARE_WORLD.replicaHomes, ['assistant-7', { ...HOME, epoch: 2 }]]),
    },
    expected: [],
  },
  {
    title: 'claims the home of a new VM first',
    world: { ...SPARE_WORLD, vms: [...SPARE_WORLD.vms, buildVm('vm-9')] },
    expected: ['claim-vm vm-9'],
  },
  {
    title: 'claims a home of an earlier epoch again',
    world: {
      ...SPARE_WORLD,
      vms: [...SPARE_WORLD.vms, buildVm('vm-9')],
      vmHomes: new Map([['vm-9', { ...HOME, epoch: 0 }]]),
    },
    expected: ['claim-vm vm-9'],
  },
  {
    title: 'waits while another domain holds the home of a VM',
    world: {
      ...SPARE_WORLD,
      vms: [...SPARE_WORLD.vms, buildVm('vm-9')],
      vmHomes: new Map([['vm-9', { ...HOME, fabricDomain: 'fd-b' }]]),
    },
    expected: [],
  },
  {
    title: 'adopts a VM whose home it owns',
    world: {
      ...SPARE_WORLD,
      vms: [...SPARE_WORLD.vms, buildVm('vm-9')],
      vmHomes: new Map([['vm-9', HOME]]),
    },
    expected: ['vm-adopted vm-9'],
  },
  {
    title: 'refuses VMs past the size of an allocation',
    world: {
      ...SPARE_WORLD,
      vms: [...SPARE_WORLD.vms, buildVm('vm-9')],
      limits: { ...SPARE_WORLD.limits, maxAllocationBytes: 100 },
    },
    expected: ['report-too-large'],
  },
  {
    title: 'claims a replica that no domain has, after its turn',
    world: {
      ...buildWorld(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      unplacedSinceMs: new Map([['assistant-0', 0]]),
    },
    expected: ['claim-replica assistant-0'],
  },
  {
    title: 'forms a replica that it owns, at a generation above all earlier ones',
    world: {
      ...buildWorld(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', HOME]]),
    },
    expected: ['group-formed assistant-0@40 vm-1 vm-2'],
  },
  {
    title: 'claims an inherited replica home again before forming',
    world: {
      ...buildWorld(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', { ...HOME, epoch: 0 }]]),
    },
    expected: ['claim-replica assistant-0'],
  },
  {
    title: 'gives back a replica that it cannot form',
    world: {
      ...buildWorld(buildAllocation(['vm-1'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', HOME]]),
    },
    expected: ['release-replica assistant-0'],
  },
  {
    title: 'leaves a replica of another domain alone',
    world: {
      ...buildWorld(buildAllocation(['vm-1', 'vm-2'], []), CONFIGURATION),
      replicaHomes: new Map([['assistant-0', { ...HOME, fabricDomain: 'fd-b' }]]),
      unplacedSinceMs: new Map([['assistant-0', 0]]),
    },
    expected: [],
  },
  {
    title: 'drains a replica that is no longer declared',
    world: {
      ...SPARE_WORLD,
      configuration: buildConfiguration([{ ...ASSISTANT, replicas: 0 }]),
    },
    expected: ['group-state-changed assistant-0 draining'],
  },
  {
    title: 'drains groups of an availability zone that is out',
    world: { ...SPARE_WORLD, configuration: buildConfiguration([ASSISTANT], ['sofia-a']) },
    expected: ['group-state-changed assistant-0 draining'],
  },
  {
    title: 'lets a drained group serve again when the zone is back in',
    world: withState(GroupState.Draining),
    expected: ['group-state-changed assistant-0 forming'],
  },
  {
    title: 'drains a replica for another version',
    world: {
      ...SPARE_WORLD,
      configuration: buildConfiguration([{ ...ASSISTANT, modelVersion: '2' }]),
    },
    expected: ['group-state-changed assistant-0 draining'],
  },
  {
    title: 'waits with another version for the replica before it in another domain',
    world: {
      ...buildWorld(
        buildAllocation(['vm-1', 'vm-2'], [buildGroup('assistant', 1, ['vm-1', 'vm-2'])]),
        buildConfiguration([{ ...ASSISTANT, replicas: 2, modelVersion: '2' }]),
      ),
      replicaHomes: new Map([['assistant-0', { ...HOME, fabricDomain: 'fd-b' }]]),
      peerGroups: [buildGroup('assistant', 0, ['vm-7', 'vm-8'])],
    },
    expected: [],
  },
  {
    title: 'waits with another version until other domains were read',
    world: {
      ...SPARE_WORLD,
      configuration: buildConfiguration([{ ...ASSISTANT, modelVersion: '2' }]),
      peerGroups: undefined,
    },
    expected: [],
  },
  {
    title: 'serves after all members confirmed',
    world: withState(GroupState.Forming),
    expected: ['group-state-changed assistant-0 serving'],
  },
  {
    title: 'does not serve on an answer from before the last order to another member',
    world: withViews(withState(GroupState.Forming), {
      'vm-1': {
        ...RUNNING,
        querySequence: 4,
        order: { group: 'assistant-0', generation: 5, sequence: 3 },
      },
    }),
    expected: [],
  },
  {
    title: 'sends the orders again after a takeover and keeps serving',
    world: withViews(SPARE_WORLD, { 'vm-1': { ...RUNNING, order: undefined } }),
    expected: ['send-order vm-1 assistant-0@5 rank 0'],
  },
  {
    title: 'stops serving and orders again when a member restarted',
    world: withViews(SPARE_WORLD, {
      'vm-1': { ...RUNNING, status: buildStatus({ instanceId: 'other' }) },
    }),
    expected: ['group-state-changed assistant-0 forming', 'send-order vm-1 assistant-0@5 rank 0'],
  },
  {
    title: 'empties a spare that failed',
    world: withViews(SPARE_WORLD, {
      'vm-3': buildView(buildStatus({ phase: EnginePhase.Failed, model: 'model-assistant' })),
    }),
    expected: ['send-order vm-3 empty@0 rank 0'],
  },
  {
    title: 'keeps the weights of a spare',
    world: withViews(SPARE_WORLD, { 'vm-3': LOADED_SPARE }),
    expected: [],
  },
];

describe('planGroups', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      expect(planGroups(testCase.world).map(formatAction)).toEqual(testCase.expected);
    });
  }
});
