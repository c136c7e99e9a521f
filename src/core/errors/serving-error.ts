import ModernError from 'modern-errors';
import type { ErrorData, ErrorKind } from './error-data.ts';
import { ERROR_DATA } from './error-data.ts';

/** Values for the placeholders in the message and hint of an error. */
export type ErrorDetails = Readonly<Record<string, string | number>>;

/** Base class of all errors of the system. */
export const ServingError = ModernError.subclass('ServingError', {
  props: { kind: '' as ErrorKind, title: '', hint: '' },
});

/** An error of the system; `hint` tells the operator or caller what to do about it. */
export interface ServingErrorInstance extends Error {
  kind: ErrorKind;
  title: string;
  hint: string;
  details: ErrorDetails;
}

function fillPlaceholders(template: string, details: ErrorDetails): string {
  return template.replace(/\{(\w+)\}/g, (placeholder, name: string) =>
    String(details[name] ?? placeholder),
  );
}

/** Creates an error of a kind; the details fill the placeholders of its message and hint. */
export function createError(
  kind: ErrorKind,
  details: ErrorDetails = {},
  cause?: unknown,
): ServingErrorInstance {
  const data: ErrorData = ERROR_DATA[kind];
  const hint = fillPlaceholders(data.hint, details);
  const message = `${fillPlaceholders(data.message, details)} ${hint}`;
  const error = new ServingError(message, { props: { kind, title: data.title, hint, details } });
  error.name = data.name;
  if (cause !== undefined) error.cause = cause;
  return error as Error as ServingErrorInstance;
}

/** Returns whether a value is an error of the system and, if a kind is given, of that kind. */
export function isServingError(value: unknown, kind?: ErrorKind): value is ServingErrorInstance {
  if (!(value instanceof ServingError)) return false;
  return kind === undefined || value.kind === kind;
}

/** Formats any thrown value as one line: its message, and the message of its cause if it has one. */
export function formatProblem(value: unknown): string {
  if (!(value instanceof Error)) return String(value);
  const cause = value.cause instanceof Error ? ` (${value.cause.message})` : '';
  return `${value.message}${cause}`;
}
