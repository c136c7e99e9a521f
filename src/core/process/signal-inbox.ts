/*
 * Daemons load this module before all others, so it imports none of them: a signal that arrives before
 * there is a handler ends the process.
 */

const DAEMON_SIGNALS = ['SIGHUP', 'SIGINT', 'SIGTERM'] as const;

/** A signal that daemons handle: SIGHUP reloads the settings, the others stop the daemon. */
export type DaemonSignal = (typeof DAEMON_SIGNALS)[number];

/** Receives the signals of the process, and keeps those that arrive before there is a listener. */
export interface SignalInbox {
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
    subscribe(listener) {
      handleSignal = listener;
      pending.forEach(listener);
      pending.clear();
    },
  };
}
