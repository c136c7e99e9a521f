/*
 * Daemons load this module before all others, so it imports none of them: a signal that arrives before
 * there is a handler ends the process.
 */

/**
 * All signals that would end a process or open the inspector of Node.js, but for those that tell of a
 * fault of the program and SIGKILL. The first ones are the most likely during a start.
 */
const DAEMON_SIGNALS = [
  'SIGHUP',
  'SIGTERM',
  'SIGINT',
  'SIGQUIT',
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGPROF',
  'SIGIO',
  'SIGPWR',
  'SIGXCPU',
] as const;

/**
 * A signal that daemons handle: SIGHUP reloads the settings, SIGTERM, SIGINT and SIGQUIT stop the
 * daemon, and the others have no effect.
 */
export type DaemonSignal = (typeof DAEMON_SIGNALS)[number];

const MS_PER_SECOND = 1_000;

/** Receives the signals of the process, and keeps those that arrive before there is a listener. */
export interface SignalInbox {
  /** Time from the start of the process until signals were handled, in milliseconds. */
  readonly handledAfterMs: number;
  /** Calls the listener once for each kind of signal that has arrived, then with each later signal. */
  subscribe(listener: (signal: DaemonSignal) => void): void;
}

/** Handles the signals of the process from now on. */
export function createSignalInbox(): SignalInbox {
  const pending = new Set<DaemonSignal>();
  let handleSignal = (signal: DaemonSignal): void => {
    pending.add(signal);
  };
  DAEMON_SIGNALS.forEach((name) => process.on(name, () => handleSignal(name)));
  return {
    handledAfterMs: Math.round(process.uptime() * MS_PER_SECOND),
    subscribe(listener) {
      handleSignal = listener;
      pending.forEach(listener);
      pending.clear();
    },
  };
}
