import type { Logger } from '../logs/index.ts';
import type { RetryOptions } from './retry-while.ts';
import { retryWhileTransient } from './retry-while.ts';

/** Opens a port, and tries again while another process uses it; rejects as `open` does otherwise. */
export type WaitForPort = <Value>(address: string, open: () => Promise<Value>) => Promise<Value>;

/** Options of `createPortWaiter`. */
export interface PortWaiterOptions extends Pick<RetryOptions, 'timers' | 'abortSignal'> {
  logger: Logger;
}

const RETRY_MS = 200;
/** A predecessor may take its whole grace period to end, which is 8 s on the users' platform. */
const LIMIT_MS = 10_000;

function isAddressInUse(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Creates a function that waits for ports that a predecessor, or any other process, still uses. */
export function createPortWaiter({ logger, ...waiting }: PortWaiterOptions): WaitForPort {
  return (address, open) =>
    retryWhileTransient(open, {
      ...waiting,
      getLimitMs: (error) => (isAddressInUse(error) ? LIMIT_MS : 0),
      pauseMs: RETRY_MS,
      handleFailure: (_error, waitedMs) =>
        logger.warn('the port is in use; waiting for it', {
          address,
          waitedMs: Math.round(waitedMs),
        }),
      handleSuccess: (waitedMs) =>
        logger.info('the port is free', { address, waitedMs: Math.round(waitedMs) }),
    });
}
