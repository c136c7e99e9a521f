import { Roarr } from 'roarr';
import type { Logger as RoarrLogger } from 'roarr';

export { startLogWriter } from './standard-output.ts';

/** Structured fields of a log line. */
export type LogContext = Readonly<Record<string, string | number | boolean | null>>;

/** Writes structured log lines of one component. */
export interface Logger {
  debug(message: string, context?: LogContext): void;
  info(message: string, context?: LogContext): void;
  warn(message: string, context?: LogContext): void;
  error(message: string, context?: LogContext): void;
}

/**
 * Creates the logger of a component. The prefix is logged as the field `part`, and every message
 * starts with it in brackets.
 */
export function createLogger(prefix: string, parent: RoarrLogger = Roarr): Logger {
  const child = parent.child({ part: prefix });
  const format = (message: string): string => `[${prefix}] ${message}`;
  return {
    debug: (message, context = {}) => child.debug(context, format(message)),
    info: (message, context = {}) => child.info(context, format(message)),
    warn: (message, context = {}) => child.warn(context, format(message)),
    error: (message, context = {}) => child.error(context, format(message)),
  };
}
