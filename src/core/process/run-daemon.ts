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

const EXIT_STATUS_BY_ERROR_KIND: Partial<Record<ErrorKind, ExitStatus>> = {
  [ErrorKind.SettingsInvalid]: ExitStatus.Invalid,
  [ErrorKind.SettingsUnreadable]: ExitStatus.Invalid,
  [ErrorKind.DeclarationInvalid]: ExitStatus.Invalid,
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

/** Maximum time to write the last log lines when a daemon exits. */
const LOG_DRAIN_MS = 200;

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Starts a daemon and stops it gracefully on the first SIGTERM or SIGINT. With a reporter, an error
 * that nothing else has caught is reported and the process goes on.
 */
export async function runDaemon(
  logger: Logger,
  start: () => Promise<Daemon>,
  errorReporter?: ErrorReporter,
): Promise<void> {
  if (errorReporter !== undefined) {
    const report = (error: unknown): void => errorReporter.report(ErrorOrigin.Process, error);
    process.on('uncaughtException', report);
    process.on('unhandledRejection', report);
  }
  const logWriter = startLogWriter(createTimerService());
  await runAndReportErrors(async () => {
    const daemon = await start().catch((error: unknown) => {
      process.stderr.write(`${formatProblem(error)}\n`);
      // Components that have already started must not keep a process running that cannot serve.
      // eslint-disable-next-line n/no-process-exit
      process.exit(getExitStatus(error));
    });
    let isStopping = false;
    const handleSignal = (signal: string): void => {
      if (isStopping) return;
      isStopping = true;
      logger.info('stopping', { signal });
      void daemon
        .stop()
        .then(() => logger.info('stopped'))
        .catch((error: unknown) => {
          logger.error('graceful shutdown failed', { problem: formatProblem(error) });
          process.exitCode = ExitStatus.Failure;
        })
        .then(() => logWriter.drain(LOG_DRAIN_MS))
        .catch((error: unknown) => process.stderr.write(`${formatProblem(error)}\n`))
        // Idle keep-alive sockets and timers of libraries must not keep the process running.
        // eslint-disable-next-line n/no-process-exit
        .finally(() => process.exit());
    };
    // Without a handler, SIGHUP terminates the process.
    process.on('SIGHUP', () => {
      logger.info('reloading the settings');
      daemon.reload?.();
    });
    STOP_SIGNALS.forEach((signal) => process.on(signal, handleSignal));
  });
}

/** Returns the value of `--settings FILE`; throws a usage error if the option is missing. */
export function requireSettingsFile(value: string | undefined): string {
  if (value !== undefined) return value;
  throw createError(ErrorKind.UsageInvalid, { problem: 'The option --settings FILE is missing.' });
}
