import { ErrorKind, formatProblem, isServingError } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type { RetryOptions } from './retry-while.ts';
import { retryWhileTransient } from './retry-while.ts';

/** Options of `readSettingsAtStart`. */
export interface StartReadOptions extends Pick<RetryOptions, 'timers' | 'abortSignal'> {
  logger: Logger;
}

const RETRY_MS = 100;
/** Writing a file of some kilobytes takes far less, also on a machine under load. */
const INVALID_LIMIT_MS = 2_000;

/** A file that cannot be read yet may come at any time: the process has nothing to do before. */
function getLimitMs(error: unknown): number {
  if (isServingError(error, ErrorKind.SettingsUnreadable)) return Infinity;
  return isServingError(error, ErrorKind.SettingsInvalid) ? INVALID_LIMIT_MS : 0;
}

/**
 * Reads the settings of a process that starts. The file may be in the middle of a change, so that one
 * that is invalid is read again for a while, and one that is missing until it is there.
 */
export function readSettingsAtStart<Settings>(
  read: () => Settings,
  { logger, ...waiting }: StartReadOptions,
): Promise<Settings> {
  return retryWhileTransient(read, {
    ...waiting,
    getLimitMs,
    pauseMs: RETRY_MS,
    handleFailure: (error, waitedMs) =>
      logger.warn('the settings cannot be read; trying again', {
        problem: formatProblem(error),
        waitedMs: Math.round(waitedMs),
      }),
    handleSuccess: (waitedMs) =>
      logger.info('the settings can be read', { waitedMs: Math.round(waitedMs) }),
  });
}
