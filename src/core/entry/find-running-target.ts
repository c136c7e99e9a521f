import type { Allocation, GroupAllocation } from '../allocation/index.ts';
import type { DocumentStore } from '../documents/index.ts';
import type { RoutableTarget, TargetHealth } from '../probing/index.ts';
import { TargetState } from '../rpc/index.ts';

/** The engine already holds the memory of the stream, so a resume needs no further capacity. */
const RESUMED_STREAM_LOAD = {
  running: 0,
  queued: 0,
  heldTokens: 0,
  capacityTokens: Number.MAX_SAFE_INTEGER,
  coldLimit: 0,
  ageMs: 0,
} as const;

interface AllocatedGroup {
  allocation: Allocation;
  group: GroupAllocation;
}

function findGroupByRank0Vm(
  allocations: readonly Allocation[],
  vm: string,
): AllocatedGroup | undefined {
  return allocations
    .flatMap((allocation) => allocation.groups.map((group) => ({ allocation, group })))
    .find(({ group }) => group.members[0] === vm);
}

/**
 * Finds the serving group whose rank 0 runs on a VM, so that a caller can resume a stream there. The
 * group may be draining and closed to new requests. Returns undefined when no group has its rank 0
 * there.
 */
export function findRunningTarget(
  documents: DocumentStore,
  health: Pick<TargetHealth, 'getReport'>,
  vm: string,
): RoutableTarget | undefined {
  const allocations = documents.listAllocations().map(({ value }) => value);
  const found = findGroupByRank0Vm(allocations, vm);
  if (found === undefined) return undefined;
  const { allocation, group } = found;
  const endpoint = allocation.vms[vm];
  if (endpoint === undefined) return undefined;
  const report = health.getReport(vm);
  return {
    id: group.name,
    vm,
    address: endpoint.address,
    port: endpoint.port,
    availabilityZone: endpoint.availabilityZone,
    group: group.name,
    generation: group.generation,
    instanceId: report?.instanceId ?? '',
    warm: report?.state === TargetState.WARM,
    load: RESUMED_STREAM_LOAD,
    loadAgeMs: 0,
    weight: 1,
    sharingDaemons: 1,
  };
}
