import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Opens a port, and tries again while another process uses it; rejects as `open` does otherwise. */
export type WaitForPort = <Value>(address: string, open: () => Promise<Value>) => Promise<Value>;

/** Options of `createPortWaiter`. */
export interface PortWaiterOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  logger: Logger;
  /** Ends the wait, as the process is to stop. */
  abortSignal?: AbortSignal;
}

const RETRY_MS = 200;
/** A predecessor may take its whole grace period to end, which is 8 s on the users' platform. */
const LIMIT_MS = 10_000;

function isAddressInUse(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Creates a function that waits for ports that a predecessor, or any other process, still uses. */
export function createPortWaiter({ timers, logger, abortSignal }: PortWaiterOptions): WaitForPort {
  return async (address, open) => {
    const startMs = timers.getMonotonicMs();
    for (let tries = 1; ; tries++) {
      try {
        const value = await open();
        if (tries > 1) logger.info('the port is free', { address, tries });
        return value;
      } catch (error) {
        const isOver = timers.getMonotonicMs() - startMs >= LIMIT_MS;
        if (!isAddressInUse(error) || isOver || abortSignal?.aborted === true) throw error;
        if (tries === 1) logger.warn('the port is in use; waiting for it', { address });
      }
      await timers.waitFor(RETRY_MS, abortSignal);
    }
  };
}
