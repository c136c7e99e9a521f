import type { MemoryBudget, MemoryUsage } from '../memory/index.ts';
import type { PeerStatus } from '../peers/index.ts';
import type { GatewayParameters } from './types.ts';

/** Memory of a gateway, and its budget for callers and targets. */
export interface MemoryState {
  memory: MemoryUsage;
  memoryBudget: Pick<MemoryBudget, 'getHeldBytes' | 'getLimitBytes'>;
}

/** Computes the share of the scarcest memory: of the VM, or of the budget for callers and targets. */
function computeMemoryShare(limitBytes: number, { memory, memoryBudget }: MemoryState): number {
  const heldShare = memoryBudget.getHeldBytes() / memoryBudget.getLimitBytes();
  return Math.min(1, Math.max(memory.residentBytes / limitBytes, heldShare));
}

/** Builds what the settings and the memory say of this gateway's status. */
export function buildOwnStatus(
  settings: GatewayParameters,
  memoryState: MemoryState,
): Pick<PeerStatus, 'vmName' | 'availabilityZone' | 'capacity' | 'linkMbps' | 'memoryShare'> {
  const { vmName, availabilityZone, capacity, linkMbps, memoryLimitBytes } = settings;
  const memoryShare = computeMemoryShare(memoryLimitBytes, memoryState);
  return { vmName, availabilityZone, capacity, linkMbps, memoryShare };
}
