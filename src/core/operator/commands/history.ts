import { command } from 'cmd-ts';
import { fetchConfiguration, listChanges } from '../../declarations/index.ts';
import { COMMON_ARGUMENTS, createNumberOption } from '../arguments.ts';
import { DEFAULT_HISTORY_LENGTH } from '../consts.ts';
import { runWithContext } from '../context.ts';
import { formatChangeRecord } from '../format-changes.ts';
import { printResult } from '../output.ts';
import type { OperatorIo } from '../types.ts';

/** Creates the command that lists the change records of the configuration. */
export function createHistoryCommand(io: OperatorIo) {
  return command({
    name: 'history',
    description: 'List the latest changes with operator and note, newest first.',
    args: {
      limit: createNumberOption(
        'limit',
        `maximum number of changes; default ${DEFAULT_HISTORY_LENGTH}`,
      ),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      { description: 'List the latest changes', command: 'clementinefork history' },
      {
        description: 'Print all change records as JSON',
        command: 'clementinefork history --limit 200 --json',
      },
    ],
    handler: ({ settings, isJson, limit }) =>
      runWithContext(io, settings, async ({ platform }) => {
        const currentConfiguration = await fetchConfiguration(platform);
        const changes = listChanges(currentConfiguration)
          .toReversed()
          .slice(0, limit ?? DEFAULT_HISTORY_LENGTH);
        printResult(io, isJson, { version: currentConfiguration.version, changes }, [
          `Version in force: ${currentConfiguration.version}.`,
          ...changes.flatMap(formatChangeRecord),
        ]);
      }),
  });
}
