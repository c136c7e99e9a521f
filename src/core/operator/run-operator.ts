import { runSafely, subcommands } from 'cmd-ts';
import { formatProblem, isServingError } from '../errors/index.ts';
import { ExitStatus, getExitStatus } from '../process/index.ts';
import { checkOptions } from './check-options.ts';
import { createApplyCommand } from './commands/apply.ts';
import { createCheckCommand } from './commands/check.ts';
import { createDiffCommand } from './commands/diff.ts';
import { createExplainCommand } from './commands/explain.ts';
import { createGetCommand } from './commands/get.ts';
import { createHistoryCommand } from './commands/history.ts';
import { createStatusCommand } from './commands/status.ts';
import { createTimelineCommand } from './commands/timeline.ts';
import { createValidateCommand } from './commands/validate.ts';
import { createZoneCommand } from './commands/zone.ts';
import { SETTINGS_EXAMPLE } from './settings.ts';
import type { OperatorIo } from './types.ts';

function createCommands(io: OperatorIo) {
  return {
    validate: createValidateCommand(io),
    check: createCheckCommand(io),
    diff: createDiffCommand(io),
    apply: createApplyCommand(io),
    get: createGetCommand(io),
    history: createHistoryCommand(io),
    zone: createZoneCommand(io),
    status: createStatusCommand(io),
    timeline: createTimelineCommand(io),
    explain: createExplainCommand(io),
  };
}

function printError(io: OperatorIo, isJson: boolean, error: unknown): void {
  if (!isJson || !isServingError(error)) {
    io.writeError(`${formatProblem(error)}\n`);
    return;
  }
  const { kind, title, message, hint, details } = error;
  io.writeError(`${JSON.stringify({ error: { kind, title, message, hint, details } }, null, 2)}\n`);
}

async function runCommandLine(io: OperatorIo, args: readonly string[]): Promise<ExitStatus> {
  const cmds = createCommands(io);
  checkOptions(cmds, args);
  if (args.includes('--print-settings')) {
    io.writeOut(SETTINGS_EXAMPLE);
    return ExitStatus.Success;
  }
  const root = subcommands({
    name: 'clementinefork',
    description: 'Declare serving groups, routes, weights, limits and availability zones.',
    cmds,
    examples: [
      { description: 'Review a change', command: 'clementinefork diff rodopi.yaml' },
      { description: 'Options of a command', command: 'clementinefork apply --help' },
    ],
  });
  const result = await runSafely(root, [...args]);
  if ('value' in result) return ExitStatus.Success;
  const { exitCode, into, message } = result.error.config;
  if (into === 'stdout') io.writeOut(`${message}\n`);
  else io.writeError(`${message}\n`);
  return exitCode === 0 ? ExitStatus.Success : ExitStatus.Invalid;
}

/** Runs the operator command with the given arguments and returns its exit status. */
export async function runOperator(io: OperatorIo, args: readonly string[]): Promise<ExitStatus> {
  try {
    return await runCommandLine(io, args);
  } catch (error) {
    printError(io, args.includes('--json'), error);
    return getExitStatus(error);
  }
}
