import type { ErrorReporter } from '../errors/index.ts';
import {
  createError,
  ErrorKind,
  ErrorOrigin,
  formatProblem,
  isServingError,
} from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import { startLogWriter } from '../logs/index.ts';
import { createTimerService } from '../timers/index.ts';
import { ExitStatus } from './exit-status.ts';
import type { DaemonSignal, SignalInbox } from './signal-inbox.ts';
import { createSignalInbox } from './signal-inbox.ts';

const EXIT_STATUS_BY_ERROR_KIND: Partial<Record<ErrorKind, ExitStatus>> = {
  [ErrorKind.SettingsInvalid]: ExitStatus.Invalid,
  [ErrorKind.SettingsUnreadable]: ExitStatus.Invalid,
  [ErrorKind.DeclarationInvalid]: ExitStatus.Invalid,
  [ErrorKind.ConfigurationInvalid]: ExitStatus.Invalid,
  [ErrorKind.DeclarationTooLarge]: ExitStatus.Invalid,
  [ErrorKind.UsageInvalid]: ExitStatus.Invalid,
  [ErrorKind.DeclarationConflict]: ExitStatus.Conflict,
  [ErrorKind.WriteUndecided]: ExitStatus.Undecided,
};

/** Returns the exit status for a thrown value. */
export function getExitStatus(error: unknown): ExitStatus {
  if (!isServingError(error)) return ExitStatus.Failure;
  return EXIT_STATUS_BY_ERROR_KIND[error.kind] ?? ExitStatus.Failure;
}

/** Runs a command; on an error, prints it to standard error and sets the exit status. */
export async function runAndReportErrors(run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (error) {
    process.stderr.write(`${formatProblem(error)}\n`);
    process.exitCode = getExitStatus(error);
  }
}

/** A running daemon. */
export interface Daemon {
  /** Stops gracefully; resolves when the work in flight is finished. */
  stop(): Promise<void>;
  /** Reads the settings again; called on SIGHUP. */
  reload?(): void;
}

const STOP_SIGNALS: ReadonlySet<DaemonSignal> = new Set(['SIGTERM', 'SIGINT', 'SIGQUIT']);

/** Maximum time to write the last log lines when a daemon exits. */
const LOG_DRAIN_MS = 200;

const MS_PER_SECOND = 1_000;

function getProcessAgeMs(): number {
  return Math.round(process.uptime() * MS_PER_SECOND);
}

/** Options of `runDaemon`. */
export interface DaemonOptions {
  logger: Logger;
  /** Signals of the process; default: those that arrive from now on. */
  signals?: SignalInbox | undefined;
  /** Starts the daemon; may give up once the signal aborts, as the daemon would stop at once. */
  start(abortSignal: AbortSignal): Promise<Daemon>;
  /** Gets the errors that nothing else has caught; without it, such an error ends the process. */
  errorReporter?: ErrorReporter;
}

/**
 * Starts a daemon, and stops it gracefully on the first SIGTERM, SIGINT or SIGQUIT. Signals that
 * arrive while it starts take effect afterwards; those that mean nothing to a daemon are logged once.
 */
export async function runDaemon(options: DaemonOptions): Promise<void> {
  const { logger, start, errorReporter, signals = createSignalInbox() } = options;
  if (errorReporter !== undefined) {
    const report = (error: unknown): void => errorReporter.report(ErrorOrigin.Process, error);
    process.on('uncaughtException', report);
    process.on('unhandledRejection', report);
  }
  const logWriter = startLogWriter(createTimerService());
  logger.info('starting', {
    pid: process.pid,
    nodeVersion: process.version,
    signalsHandledAfterMs: signals.handledAfterMs,
    loadedAfterMs: getProcessAgeMs(),
  });
  const startAbort = new AbortController();
  let daemon: Daemon | undefined;
  let isStopping = false;
  let needsReload = false;
  const ignoredSignals = new Set<DaemonSignal>();

  const exit = async (status: ExitStatus): Promise<void> => {
    await logWriter
      .drain(LOG_DRAIN_MS)
      .catch((error: unknown) => process.stderr.write(`${formatProblem(error)}\n`));
    // Idle keep-alive sockets, timers of libraries and components that have already started must not
    // keep the process running.
    // eslint-disable-next-line n/no-process-exit
    process.exit(status);
  };

  const stop = async (running: Daemon): Promise<void> => {
    try {
      await running.stop();
      logger.info('stopped');
      await exit(ExitStatus.Success);
    } catch (error) {
      logger.error('graceful shutdown failed', { problem: formatProblem(error) });
      await exit(ExitStatus.Failure);
    }
  };

  const reload = (): void => {
    logger.info('reloading the settings');
    daemon?.reload?.();
  };

  signals.subscribe((signal) => {
    // Signals that are sent together arrive in any order; a daemon that stops needs no new settings.
    if (isStopping) return;
    if (signal === 'SIGHUP') {
      if (daemon === undefined) needsReload = true;
      else reload();
      return;
    }
    if (!STOP_SIGNALS.has(signal)) {
      if (!ignoredSignals.has(signal)) logger.warn('a signal has no effect', { signal });
      ignoredSignals.add(signal);
      return;
    }
    isStopping = true;
    logger.info('stopping', {
      signal,
      isStarted: daemon !== undefined,
      afterMs: getProcessAgeMs(),
    });
    startAbort.abort();
    if (daemon !== undefined) void stop(daemon);
  });

  try {
    daemon = await start(startAbort.signal);
  } catch (error) {
    if (!isStopping) {
      const problem = formatProblem(error);
      const status = getExitStatus(error);
      process.stderr.write(`${problem}\n`);
      logger.error('the start failed', { problem, status, afterMs: getProcessAgeMs() });
      await exit(status);
      return;
    }
    logger.info('stopped before the start was complete', { problem: formatProblem(error) });
    await exit(ExitStatus.Success);
    return;
  }
  logger.info('the start is complete', { afterMs: getProcessAgeMs() });
  if (isStopping) await stop(daemon);
  // The settings may have changed after they were read.
  else if (needsReload) reload();
}

/** Returns the value of `--settings FILE`; throws a usage error if the option is missing. */
export function requireSettingsFile(value: string | undefined): string {
  if (value !== undefined) return value;
  throw createError(ErrorKind.UsageInvalid, { problem: 'The option --settings FILE is missing.' });
}
