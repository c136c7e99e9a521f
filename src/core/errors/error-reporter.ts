import { formatProblem } from './serving-error.ts';

/** Where an unexpected error was caught; what it ended depends on the place. */
export enum ErrorOrigin {
  /** One run of a listener of a timer. */
  Timer = 'timer',
  /** One request of a caller, or the exchange with a target on its behalf. */
  Request = 'request',
  /** One datagram of another gateway. */
  Packet = 'packet',
  /** One change or listing of objects in the store. */
  Feed = 'feed',
  /** Caught by nothing else: it is not known which state it left behind. */
  Process = 'process',
}

/** Called with each reported error. */
export type ErrorListener = (origin: ErrorOrigin) => void;

/** Reports unexpected errors, each of which has ended one step and not the process. */
export interface ErrorReporter {
  report(origin: ErrorOrigin, error: unknown): void;
  /** Adds a listener, which must not throw. */
  subscribe(listener: ErrorListener): void;
}

/** Writes one log line; matches `Logger.error`. */
type WriteLine = (message: string, context: Readonly<Record<string, string | number>>) => void;

/** Lines logged per origin before only every `LINE_INTERVAL`-th error is logged. */
const FIRST_LINES = 20;
const LINE_INTERVAL = 100;

/** Creates a reporter that logs the first errors of each origin and then a sample of them. */
export function createErrorReporter(writeLine: WriteLine): ErrorReporter {
  const listeners: ErrorListener[] = [];
  const counts = new Map<ErrorOrigin, number>();
  return {
    report(origin, error) {
      const count = (counts.get(origin) ?? 0) + 1;
      counts.set(origin, count);
      if (count <= FIRST_LINES || count % LINE_INTERVAL === 0) {
        const location = error instanceof Error ? (error.stack?.split('\n')[1]?.trim() ?? '') : '';
        const context = { origin, count, problem: formatProblem(error), location };
        writeLine('an unexpected error ended one step', context);
      }
      listeners.forEach((listener) => listener(origin));
    },
    subscribe: (listener) => {
      listeners.push(listener);
    },
  };
}
