import { createError, ErrorKind } from '../errors/index.ts';
import { MAX_ALLOCATION_BYTES } from './consts.ts';
import type { Allocation } from './types.ts';

/** Returns the size in bytes of an allocation as it is written to the platform. */
export function measureAllocation(allocation: Allocation): number {
  return Buffer.byteLength(JSON.stringify(allocation));
}

/** Throws AllocationTooLarge when the allocation is too large to be written. */
export function assertAllocationFits(
  allocation: Allocation,
  limitBytes = MAX_ALLOCATION_BYTES,
): void {
  const bytes = measureAllocation(allocation);
  if (bytes <= limitBytes) return;
  const { fabricDomain } = allocation;
  throw createError(ErrorKind.AllocationTooLarge, { fabricDomain, bytes, limitBytes });
}
