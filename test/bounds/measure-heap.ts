import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Measures the heap in bytes without what is no longer referenced. */
export function measureHeapBytes(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
