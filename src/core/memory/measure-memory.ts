import { getHeapStatistics } from 'node:v8';
import type { MemoryUsage } from './types.ts';

/** Measures the memory of this process. */
export function measureMemory(): MemoryUsage {
  const { rss, heapUsed, external } = process.memoryUsage();
  return {
    residentBytes: rss,
    heapBytes: heapUsed,
    heapLimitBytes: getHeapStatistics().heap_size_limit,
    externalBytes: external,
  };
}
