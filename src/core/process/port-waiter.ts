import { formatProblem } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type { RetryOptions } from './retry-while.ts';
import { retryWhileTransient } from './retry-while.ts';

/** Opens a port, and tries again while it cannot be had yet; rejects as `open` does otherwise. */
export type WaitForPort = <Value>(address: string, open: () => Promise<Value>) => Promise<Value>;

/** Options of `createPortWaiter`. */
export interface PortWaiterOptions extends Pick<RetryOptions, 'timers' | 'abortSignal'> {
  logger: Logger;
}

const RETRY_MS = 200;
/** A predecessor may take its whole grace period to end, which is 8 s on the users' platform. */
const LIMIT_MS = 10_000;

/** A port may be in use by a predecessor, and the address of a VM may come after its processes. */
const PROBLEMS = new Map([
  ['EADDRINUSE', 'the port is in use; waiting for it'],
  ['EADDRNOTAVAIL', 'the VM does not have the address; waiting for it'],
]);

function findProblem(error: unknown): string | undefined {
  if (!(error instanceof Error) || !('code' in error)) return undefined;
  return PROBLEMS.get(String(error.code));
}

/** Creates a function that waits for ports that another process still uses, and for addresses. */
export function createPortWaiter({ logger, ...waiting }: PortWaiterOptions): WaitForPort {
  return (address, open) =>
    retryWhileTransient(open, {
      ...waiting,
      getLimitMs: (error) => (findProblem(error) === undefined ? 0 : LIMIT_MS),
      pauseMs: RETRY_MS,
      handleFailure: (error, waitedMs) =>
        logger.warn(findProblem(error) ?? formatProblem(error), {
          address,
          waitedMs: Math.round(waitedMs),
        }),
      handleSuccess: (waitedMs) =>
        logger.info('the port is free', { address, waitedMs: Math.round(waitedMs) }),
    });
}
