import { command } from 'cmd-ts';
import { stringify } from 'yaml';
import { fetchConfiguration, getDeclaration } from '../../declarations/index.ts';
import { COMMON_ARGUMENTS } from '../arguments.ts';
import { runWithContext } from '../context.ts';
import { printResult } from '../output.ts';
import type { OperatorIo } from '../types.ts';

/** Creates the command that prints the declaration in force. */
export function createGetCommand(io: OperatorIo) {
  return command({
    name: 'get',
    description: 'Print the declaration in force, with its version as baseVersion.',
    args: COMMON_ARGUMENTS,
    examples: [
      {
        description: 'Save the declaration in force to a file for editing',
        command: 'clementinefork get > rodopi.yaml',
      },
    ],
    handler: ({ settings, isJson }) =>
      runWithContext(io, settings, async ({ platform }) => {
        const { version, configuration } = await fetchConfiguration(platform);
        const declaration = getDeclaration(configuration);
        const text = stringify({ baseVersion: version, ...declaration }).trimEnd();
        printResult(io, isJson, { version, declaration }, [text]);
      }),
  });
}
