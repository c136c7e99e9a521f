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

/** Characters of a field that are logged; callers, targets and the store choose what many hold. */
const MAX_FIELD_CHARACTERS = 1_000;

function trimFields(context: LogContext): LogContext {
  const isLong = (value: LogContext[string]): value is string =>
    typeof value === 'string' && value.length > MAX_FIELD_CHARACTERS;
  if (!Object.values(context).some(isLong)) return context;
  const entries = Object.entries(context).map(([name, value]) =>
    isLong(value)
      ? [name, `${value.slice(0, MAX_FIELD_CHARACTERS)}... (${value.length} characters)`]
      : [name, value],
  );
  return Object.fromEntries(entries) as LogContext;
}

/**
 * Creates the logger of a component. The prefix is logged as the field `part`, and every message
 * starts with it in brackets. Long fields are shortened.
 */
export function createLogger(prefix: string, parent: RoarrLogger = Roarr): Logger {
  const child = parent.child({ part: prefix });
  const format = (message: string): string => `[${prefix}] ${message}`;
  return {
    debug: (message, context = {}) => child.debug(trimFields(context), format(message)),
    info: (message, context = {}) => child.info(trimFields(context), format(message)),
    warn: (message, context = {}) => child.warn(trimFields(context), format(message)),
    error: (message, context = {}) => child.error(trimFields(context), format(message)),
  };
}
