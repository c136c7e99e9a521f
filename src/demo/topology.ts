import type { Vm } from '../core/domain-types/index.ts';
import { VmRole, VmState } from '../core/domain-types/index.ts';
import { findFreePorts } from './free-ports.ts';
import type { ProcessSpec } from './processes.ts';

const LOOPBACK = '127.0.0.1';
const REGION = 'sofia';
const ZONES = ['sofia-a', 'sofia-b', 'sofia-c'] as const;
const FABRIC_DOMAIN = 'sofia-fabric-1';
const PORTS_PER_ENTRY = 3;

/** Name, zone and listening ports of one entry daemon; ports are named as in its settings. */
export interface EntryEndpoints {
  name: string;
  availabilityZone: string;
  callers: number;
  peers: number;
  membership: number;
}

/** VM name and listening port of one target. */
export interface TargetEndpoint {
  vm: string;
  port: number;
}

/** Loopback address and listening ports of all processes of a demo. */
export interface Topology {
  address: string;
  entries: EntryEndpoints[];
  engines: TargetEndpoint[];
  services: TargetEndpoint[];
  platformPort: number;
  weightsPort: number;
  engineControlPort: number;
  serviceControlPort: number;
}

/** Process counts and simulated delays of a demo. */
export interface TopologyOptions {
  entries: number;
  engines: number;
  services: number;
  /** How long an engine stays cold after loading, and a service target after its start, in ms. */
  coldMs: number;
  /** Interval between two tokens of a completion, in milliseconds. */
  tokenMs: number;
}

function getZone(index: number): string {
  return ZONES[index % ZONES.length] ?? ZONES[0];
}

/** Creates the topology with free loopback ports for all processes. */
export async function createTopology(options: TopologyOptions): Promise<Topology> {
  const fixedPorts = 4;
  const { entries, engines, services } = options;
  const ports = await findFreePorts(fixedPorts + entries * PORTS_PER_ENTRY + engines + services);
  const takePort = (): number => ports.shift() ?? 0;
  const createTargets = (prefix: string, count: number): TargetEndpoint[] =>
    Array.from({ length: count }, (_, index) => ({
      vm: `${prefix}-${index + 1}`,
      port: takePort(),
    }));
  return {
    address: LOOPBACK,
    platformPort: takePort(),
    weightsPort: takePort(),
    engineControlPort: takePort(),
    serviceControlPort: takePort(),
    entries: Array.from({ length: entries }, (_, index) => ({
      name: `entry-${index + 1}`,
      availabilityZone: getZone(index),
      callers: takePort(),
      peers: takePort(),
      membership: takePort(),
    })),
    engines: createTargets('engine', engines),
    services: createTargets('order', services),
  };
}

function buildVm(role: VmRole, name: string, port: number, availabilityZone: string): Vm {
  return {
    name,
    address: LOOPBACK,
    port,
    availabilityZone,
    region: REGION,
    fabricDomain: FABRIC_DOMAIN,
    role,
    accelerators: role === VmRole.Engine ? 4 : 0,
    state: VmState.Live,
  };
}

/** Builds the VM list that the platform stand-in serves. */
export function buildVmList(topology: Topology): Vm[] {
  const { entries, engines, services } = topology;
  return [
    ...entries.map((entry) =>
      buildVm(VmRole.Entry, entry.name, entry.callers, entry.availabilityZone),
    ),
    ...engines.map(({ vm, port }) => buildVm(VmRole.Engine, vm, port, getZone(0))),
    ...services.map(({ vm, port }, index) => buildVm(VmRole.Service, vm, port, getZone(index))),
  ];
}

/** Describes the stand-in processes: platform, weight store, engines and order service. */
export function buildStandInSpecs(topology: Topology, options: TopologyOptions): ProcessSpec[] {
  const { address } = topology;
  return [
    {
      name: 'platform',
      binary: 'standin-platform',
      settings: { listen: { address, port: topology.platformPort }, vms: buildVmList(topology) },
    },
    {
      name: 'weights',
      binary: 'standin-weights',
      settings: { address, port: topology.weightsPort, defaultBytes: 1_000_000 },
    },
    {
      name: 'engines',
      binary: 'standin-engine',
      settings: {
        behaviour: {
          weightStore: `http://${address}:${topology.weightsPort}`,
          coldMs: options.coldMs,
          tokenMs: options.tokenMs,
        },
        members: topology.engines.map(({ vm, port }) => ({ vm, address, port })),
        control: { address, port: topology.engineControlPort },
      },
    },
    {
      name: 'orders',
      binary: 'standin-service',
      settings: {
        behaviour: { coldMs: options.coldMs },
        targets: topology.services.map(({ vm, port }) => ({ vm, address, port })),
        control: { address, port: topology.serviceControlPort },
      },
    },
  ];
}

/** Describes the process of one entry daemon. */
export function buildEntrySpec(topology: Topology, entry: EntryEndpoints): ProcessSpec {
  const { address, platformPort } = topology;
  const { name, availabilityZone, callers, peers, membership } = entry;
  return {
    name,
    binary: 'clementinefork-entry',
    settings: {
      name,
      address,
      availabilityZone,
      region: REGION,
      ports: { callers, peers, membership },
      platform: { address, port: platformPort },
      seeds: topology.entries
        .filter((other) => other.name !== name)
        .map((other) => ({ address, port: other.membership })),
      addressLifetimeMs: 1_000,
    },
  };
}

/**
 * Describes the controller process on the VM of an entry daemon. Its intervals are short, so that
 * the demo finishes quickly.
 */
export function buildControllerSpec(topology: Topology, entry: EntryEndpoints): ProcessSpec {
  const { address, platformPort } = topology;
  return {
    name: `controller-${entry.name}`,
    binary: 'clementinefork-controller',
    settings: {
      vm: entry.name,
      availabilityZone: entry.availabilityZone,
      platform: { address, port: platformPort },
      daemon: { address, port: entry.peers },
      reportMs: 300,
      lease: { durationMs: 4_000, renewalMs: 1_000, marginMs: 500, observationMs: 500 },
      orders: { longestDelayMs: 500, retryMs: 500 },
      status: { queryMs: 200 },
      planning: { stepMs: 100, claimStepMs: 200, drainQuietMs: 500 },
      reading: {
        holderMs: 200,
        idleMs: 500,
        vmListMs: 500,
        idleVmListMs: 1_000,
        peerGroupsMs: 500,
      },
    },
  };
}

/** Builds the settings of the operator command. */
export function buildOperatorSettings(topology: Topology): unknown {
  const { address } = topology;
  return {
    platform: { address, port: topology.platformPort },
    daemons: topology.entries.map(({ peers }) => ({ address, port: peers })),
    operator: 'morning',
  };
}

/**
 * Builds the declaration that the demo applies: serving groups of three VMs each, which leave at
 * least one engine unused, and one order service.
 */
export function buildDeclaration(topology: Topology): unknown {
  return {
    servingGroups: [
      {
        name: 'assistant',
        model: 'assistant-llm',
        modelVersion: '2026-11',
        members: 3,
        replicas: Math.max(1, Math.floor((topology.engines.length - 1) / 3)),
      },
    ],
    services: [
      {
        name: 'order-app',
        fabricDomain: FABRIC_DOMAIN,
        targets: topology.services.map(({ vm, port }, index) => ({
          vm,
          address: topology.address,
          port,
          availabilityZone: getZone(index),
        })),
      },
    ],
    routes: [
      { customer: 'orchard', name: 'assistant-llm', servingGroups: ['assistant'] },
      { customer: 'orchard', name: 'orders', service: 'order-app' },
    ],
    limits: [
      {
        customer: 'orchard',
        requestsPerSecond: 100,
        concurrentRequests: 50,
        tokensPerSecond: 20_000,
      },
    ],
    availabilityZones: ZONES.map((name) => ({ name, region: REGION })),
  };
}
