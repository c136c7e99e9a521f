import { command, positional, string } from 'cmd-ts';
import {
  diffDeclarations,
  fetchConfiguration,
  getDeclaration,
  listChanges,
  parseDeclarationFile,
} from '../../declarations/index.ts';
import { readTextFile } from '../../settings/index.ts';
import { COMMON_ARGUMENTS } from '../arguments.ts';
import { runWithContext } from '../context.ts';
import { formatChangeRecord, formatRowChanges, formatRowCount } from '../format-changes.ts';
import { printResult } from '../output.ts';
import type { OperatorIo } from '../types.ts';

/** Creates the command that compares a declaration file with the configuration in force. */
export function createDiffCommand(io: OperatorIo) {
  return command({
    name: 'diff',
    description: 'Show the changes that applying a declaration file would make.',
    args: {
      file: positional({ type: string, displayName: 'FILE', description: 'declaration file' }),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      { description: 'Review a change', command: 'clementinefork diff rodopi.yaml' },
      {
        description: 'Print the changes as JSON',
        command: 'clementinefork diff rodopi.yaml --json',
      },
    ],
    handler: ({ settings, isJson, file }) =>
      runWithContext(io, settings, async ({ platform }) => {
        const { declaration, baseVersion } = parseDeclarationFile(file, readTextFile(file));
        const currentConfiguration = await fetchConfiguration(platform);
        const { version } = currentConfiguration;
        const changes = diffDeclarations(
          getDeclaration(currentConfiguration.configuration),
          declaration,
        );
        const isStale = baseVersion !== undefined && baseVersion !== version;
        const otherChanges = isStale
          ? listChanges(currentConfiguration).filter((record) => record.baseVersion >= baseVersion)
          : [];
        printResult(io, isJson, { version, baseVersion, changes, otherChanges }, [
          `Version in force: ${version}.`,
          ...formatRowChanges(changes),
          ...(isStale ? [`${file} is based on version ${baseVersion}. Changes since then:`] : []),
          ...otherChanges.flatMap(formatChangeRecord).map((line) => `  ${line}`),
          changes.length === 0
            ? `${file} is in force.`
            : `${formatRowCount(changes.length)}. To apply: clementinefork apply ${file} --base ${version}`,
        ]);
      }),
  });
}
