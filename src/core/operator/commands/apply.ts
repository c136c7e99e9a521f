import { writeFileSync } from 'node:fs';
import { command, positional, string } from 'cmd-ts';
import {
  ApplyOutcome,
  applyDeclaration,
  MAX_NOTE_LENGTH,
  parseDeclarationFile,
} from '../../declarations/index.ts';
import { createError, ErrorKind } from '../../errors/index.ts';
import { readTextFile } from '../../settings/index.ts';
import { CHANGE_ARGUMENTS, COMMON_ARGUMENTS, createNumberOption } from '../arguments.ts';
import { printChangeResult } from '../change-result.ts';
import { getOperatorName, runWithContext } from '../context.ts';
import type { OperatorIo } from '../types.ts';

const BASE_VERSION_LINE = /^baseVersion:[ \t]*\d+/m;

function getBaseVersion(file: string, option?: number, versionInFile?: number): number {
  const baseVersion = option ?? versionInFile;
  if (baseVersion !== undefined) return baseVersion;
  const problem = `The base version of the change is missing. Review the change with \`clementinefork diff ${file}\`, which prints the version to pass as --base.`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

/**
 * Throws a usage error for a note that is longer than `MAX_NOTE_LENGTH`. The size of the change
 * history is limited, so long notes would push older records out of it.
 */
export function checkNote(note: string): void {
  if (note.length <= MAX_NOTE_LENGTH) return;
  const problem = `The note has ${note.length} characters; the limit is ${MAX_NOTE_LENGTH}.`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

/** Updates `baseVersion` in the file, if it has one, so that the file can be edited and applied again. */
function updateBaseVersion(file: string, text: string, version: number): void {
  if (!BASE_VERSION_LINE.test(text)) return;
  writeFileSync(file, text.replace(BASE_VERSION_LINE, `baseVersion: ${version}`));
}

/** Creates the command that applies a declaration file. */
export function createApplyCommand(io: OperatorIo) {
  return command({
    name: 'apply',
    description:
      'Replace the configuration in force with a declaration file. Fails when another change was made after the base version. Updates baseVersion in the file if it has one.',
    args: {
      file: positional({ type: string, displayName: 'FILE', description: 'declaration file' }),
      base: createNumberOption(
        'base',
        'version that the change is based on; default: baseVersion in the file',
      ),
      ...CHANGE_ARGUMENTS,
      ...COMMON_ARGUMENTS,
    },
    examples: [
      {
        description: 'Apply a change that was reviewed against version 7',
        command: 'clementinefork apply rodopi.yaml --base 7 --note "raise limits"',
      },
      {
        description: 'Find out whether an earlier run took effect whose response was lost',
        command: 'clementinefork apply rodopi.yaml --base 7 --write-id ID',
      },
    ],
    handler: ({ settings, isJson, file, base, note, operator, writeId: earlierWriteId }) =>
      runWithContext(io, settings, async (context) => {
        checkNote(note);
        const text = readTextFile(file);
        const { declaration, baseVersion } = parseDeclarationFile(file, text);
        const writeId = earlierWriteId ?? io.createWriteId();
        const result = await applyDeclaration(context.platform, io.timers, {
          declaration,
          baseVersion: getBaseVersion(file, base, baseVersion),
          operator: getOperatorName(context, operator),
          note,
          writeId,
        });
        if (result.outcome === ApplyOutcome.Applied) {
          updateBaseVersion(file, text, result.appliedVersion);
        }
        printChangeResult(io, isJson, writeId, result);
      }),
  });
}
