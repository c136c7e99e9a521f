import { getHeapStatistics } from 'node:v8';
import type { MemoryUsage } from './types.ts';

/** Creates a function that measures the memory of this process. */
export function createMemoryMeter(read = process.memoryUsage): () => MemoryUsage {
  let latest: MemoryUsage | undefined;
  return () => {
    try {
      const { rss, heapUsed, external } = read();
      latest = {
        residentBytes: rss,
        heapBytes: heapUsed,
        heapLimitBytes: getHeapStatistics().heap_size_limit,
        externalBytes: external,
      };
    } catch (error) {
      // Reading /proc needs a file descriptor; without a free one, the last figures stand.
      if (latest === undefined) throw error;
    }
    return latest;
  };
}
