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
const LIMIT_MS = 2_000;

function isSettingsError(error: unknown): boolean {
  return (
    isServingError(error, ErrorKind.SettingsInvalid) ||
    isServingError(error, ErrorKind.SettingsUnreadable)
  );
}

/**
 * Reads the settings of a process that starts. The file may be in the middle of a change, so that one
 * that is missing or invalid is read again for a while.
 */
export function readSettingsAtStart<Settings>(
  read: () => Settings,
  { logger, ...waiting }: StartReadOptions,
): Promise<Settings> {
  return retryWhileTransient(read, {
    ...waiting,
    isTransient: isSettingsError,
    pauseMs: RETRY_MS,
    limitMs: LIMIT_MS,
    handleFirstFailure: (error) =>
      logger.warn('the settings cannot be read; trying again', { problem: formatProblem(error) }),
  });
}
