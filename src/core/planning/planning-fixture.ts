import type { Allocation, GroupAllocation } from '../allocation/index.ts';
import {
  AllocationEventKind,
  createAllocation,
  GroupState,
  MAX_ALLOCATION_BYTES,
} from '../allocation/index.ts';
import type { Configuration } from '../declarations/index.ts';
import { configurationSchema } from '../declarations/index.ts';
import type { TargetStatus, Vm } from '../domain-types/index.ts';
import { EnginePhase, VmRole, VmState } from '../domain-types/index.ts';
import type { PlanAction, PlanningInput, VmView } from './types.ts';
import { PlanActionKind, VmHealth } from './types.ts';

export const DOMAIN = 'fd-a';
const ENGINE_PORT = 9_000;

/** Builds an engine VM of the VM list. */
export function buildVm(name: string, changes: Partial<Vm> = {}): Vm {
  return {
    name,
    address: '127.0.0.1',
    port: ENGINE_PORT,
    availabilityZone: 'sofia-a',
    region: 'sofia',
    fabricDomain: DOMAIN,
    role: VmRole.Engine,
    accelerators: 4,
    state: VmState.Live,
    ...changes,
  };
}

/** A serving group to declare in a test, with the weight of its only route. */
export interface DeclaredGroup {
  name: string;
  members: number;
  replicas: number;
  weight: number;
  modelVersion?: string;
}

/** Builds a configuration in which each serving group has one route and its own model. */
export function buildConfiguration(
  groups: readonly DeclaredGroup[],
  zonesOut: readonly string[] = [],
): Configuration {
  return configurationSchema.parse({
    servingGroups: groups.map(({ name, members, replicas, modelVersion = '1' }) => ({
      name,
      members,
      replicas,
      model: `model-${name}`,
      modelVersion,
    })),
    routes: groups.map(({ name }) => ({
      customer: 'orchard',
      name: `route-${name}`,
      servingGroups: [name],
    })),
    weights: groups.map(({ name, weight }) => ({
      customer: 'orchard',
      route: `route-${name}`,
      servingGroup: name,
      weight,
    })),
    availabilityZones: zonesOut.map((name) => ({ name, region: 'sofia', state: 'out' })),
  });
}

/** Builds an allocated group at generation 5. */
export function buildGroup(
  servingGroup: string,
  number: number,
  members: string[],
  state = GroupState.Serving,
): GroupAllocation {
  return {
    name: `${servingGroup}-${number}`,
    servingGroup,
    model: `model-${servingGroup}`,
    modelVersion: '1',
    generation: 5,
    state,
    members,
  };
}

/** Builds an allocation that holds these VMs and groups. */
export function buildAllocation(
  vms: readonly string[],
  groups: readonly GroupAllocation[],
): Allocation {
  const empty = createAllocation(DOMAIN, { holder: 'first', vm: 'entry-a', durationMs: 30_000 });
  const findGroup = (vm: string): string | null =>
    groups.find(({ members }) => members.includes(vm))?.name ?? null;
  const entries = vms.map((vm) => {
    const { address, port, availabilityZone } = buildVm(vm);
    return [vm, { vm, address, port, availabilityZone, leaving: false, group: findGroup(vm) }];
  });
  return {
    ...empty,
    groups: [...groups],
    vms: Object.fromEntries(entries) as Allocation['vms'],
  };
}

/** Builds the status of an empty engine. */
export function buildStatus(changes: Partial<TargetStatus> = {}): TargetStatus {
  return {
    instanceId: 'instance',
    group: null,
    generation: 0,
    epoch: 1,
    rank: 0,
    phase: EnginePhase.Empty,
    warm: true,
    model: null,
    modelVersion: null,
    load: {
      running: 0,
      queued: 0,
      heldTokens: 0,
      capacityTokens: 1_000,
      coldLimit: 1,
      ageMs: 0,
    },
    ...changes,
  };
}

/** Builds the view of a VM that answered after its last order. */
export function buildView(status = buildStatus(), changes: Partial<VmView> = {}): VmView {
  const { group, generation } = status;
  const order = group === null ? undefined : { group, generation, sequence: 1 };
  const health = VmHealth.Reachable;
  return { health, status, querySequence: 2, queriedMs: 0, order, ...changes };
}

/** Builds the view of a ready member of a group. */
export function buildMemberView(group: GroupAllocation, rank: number): VmView {
  const { name, generation, model, modelVersion } = group;
  const phase = EnginePhase.Ready;
  return buildView(buildStatus({ group: name, generation, rank, phase, model, modelVersion }));
}

/** Builds a planning input in which every member is ready and every spare is empty. */
export function buildPlanningInput(
  allocation: Allocation,
  configuration: Configuration,
  changes: Partial<PlanningInput> = {},
): PlanningInput {
  const views = Object.values(allocation.vms).map((entry): [string, VmView] => {
    const group = allocation.groups.find(({ name }) => name === entry.group);
    if (group === undefined) return [entry.vm, buildView()];
    return [entry.vm, buildMemberView(group, group.members.indexOf(entry.vm))];
  });
  const { epoch } = allocation.lease;
  const home = { fabricDomain: DOMAIN, epoch, version: 3 };
  return {
    allocation,
    configuration,
    vms: Object.keys(allocation.vms).map((vm) => buildVm(vm)),
    views: new Map(views),
    vmHomes: new Map(Object.keys(allocation.vms).map((vm) => [vm, home])),
    replicaHomes: new Map(allocation.groups.map(({ name }) => [name, home])),
    peerGroups: [],
    nowMs: 1_000_000,
    unplacedSinceMs: new Map(),
    drainingSinceMs: new Map(),
    memberBytes: new Map(),
    limits: {
      drainQuietMs: 5_000,
      drainTimeoutMs: 300_000,
      claimStepMs: 1_000,
      maxLoadsInFlight: 1_000,
      maxAllocationBytes: MAX_ALLOCATION_BYTES,
    },
    ...changes,
  };
}

/** Formats an action as one line of text. */
export function formatAction(action: PlanAction): string {
  switch (action.kind) {
    case PlanActionKind.ChangeAllocation: {
      const { event } = action;
      if (event.kind === AllocationEventKind.LeavingServicesChanged) {
        return `${event.kind} ${event.vms.join(' ')}`.trim();
      }
      const { kind, ...details } = event;
      const subject = 'vm' in details ? details.vm : details.group;
      if (typeof subject === 'string') {
        const rest = 'members' in details ? details.members.join(' ') : '';
        const state = 'state' in details ? details.state : '';
        return `${kind} ${subject} ${rest}${state}`.trim();
      }
      const isGroup = 'members' in subject;
      const text = isGroup
        ? `${subject.name}@${subject.generation} ${subject.members.join(' ')}`
        : subject.vm;
      return `${kind} ${text}`;
    }
    case PlanActionKind.SendOrder: {
      const { group, generation, rank } = action.order;
      return `${action.kind} ${action.vm} ${group ?? 'empty'}@${generation} rank ${rank}`;
    }
    case PlanActionKind.ReportTooLarge:
      return action.kind;
    default:
      return `${action.kind} ${action.name}`;
  }
}
