import { runSafely } from 'cmd-ts';
import { ExitStatus } from './exit-status.ts';

/** A cmd-ts command, or a group of subcommands. */
export type Program = Parameters<typeof runSafely>[0];

/** Runs a program with its command-line arguments; invalid usage sets exit status 2. */
export async function runProgram(
  program: Program,
  args: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const result = await runSafely(program, [...args]);
  if ('value' in result) return;
  const { exitCode, into, message } = result.error.config;
  process[into].write(`${message}\n`);
  if (exitCode !== 0) process.exitCode = ExitStatus.Invalid;
}
