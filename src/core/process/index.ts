export { createDaemonCommand } from './daemon-command.ts';
export type { DaemonCommandOptions } from './daemon-command.ts';
export { ExitStatus } from './exit-status.ts';
export { getExitStatus, requireSettingsFile, runAndReportErrors, runDaemon } from './run-daemon.ts';
export type { Daemon, DaemonOptions } from './run-daemon.ts';
export { runProgram } from './run-program.ts';
export type { Program } from './run-program.ts';
export { createSignalInbox } from './signal-inbox.ts';
export type { DaemonSignal, SignalInbox } from './signal-inbox.ts';
