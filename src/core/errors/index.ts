export { ERROR_DATA, ErrorKind } from './error-data.ts';
export type { ErrorData } from './error-data.ts';
export { createError, formatProblem, isServingError, ServingError } from './serving-error.ts';
export type { ErrorDetails, ServingErrorInstance } from './serving-error.ts';
export { createErrorReporter, ErrorOrigin } from './error-reporter.ts';
export type { ErrorListener, ErrorReporter } from './error-reporter.ts';
