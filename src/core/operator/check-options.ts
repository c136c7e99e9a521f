import { createError, ErrorKind } from '../errors/index.ts';
import { findSuggestion } from '../suggestions/index.ts';

/** The part of a cmd-ts command that lists its options. */
export interface HasHelpTopics {
  helpTopics(): readonly { usage: string }[];
}

const OPTION_PATTERN = /--[a-z][a-z-]*/g;

function createUsageError(problem: string, suggestion: string | undefined): Error {
  const end = suggestion === undefined ? '.' : `; did you mean "${suggestion}"?`;
  return createError(ErrorKind.UsageInvalid, { problem: `${problem}${end}` });
}

function listOptions(command: HasHelpTopics): string[] {
  return command.helpTopics().flatMap(({ usage }) => usage.match(OPTION_PATTERN) ?? []);
}

/**
 * Throws a usage error for an unknown command or option and suggests the closest known one. A value
 * that begins with two hyphens has to be passed as `--option=value`.
 */
export function checkOptions(
  commands: Readonly<Record<string, HasHelpTopics>>,
  args: readonly string[],
): void {
  const [name, ...rest] = args;
  if (name === undefined || name.startsWith('-')) return;
  const command = Object.hasOwn(commands, name) ? commands[name] : undefined;
  if (command === undefined) {
    const suggestion = findSuggestion(name, Object.keys(commands));
    throw createUsageError(`Unknown command "${name}"`, suggestion);
  }
  const end = rest.indexOf('--');
  const options = listOptions(command);
  rest
    .slice(0, end === -1 ? undefined : end)
    .filter((arg) => arg.startsWith('--'))
    .map((arg) => arg.split('=')[0] ?? arg)
    .filter((arg) => !options.includes(arg))
    .forEach((arg) => {
      throw createUsageError(`Unknown option "${arg}" of ${name}`, findSuggestion(arg, options));
    });
}
