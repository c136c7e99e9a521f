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

function getBaseVersion(file: string, option?: number, inFile?: number): number {
  const baseVersion = option ?? inFile;
  if (baseVersion !== undefined) return baseVersion;
  const problem = `The version that the change was made against is missing. Review the change with \`clementinefork diff ${file}\`, which names the version for --base.`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

/** Refuses a note that would crowd older records out of the history. */
export function checkNote(note: string): void {
  if (note.length <= MAX_NOTE_LENGTH) return;
  const problem = `The note has ${note.length} characters; the limit is ${MAX_NOTE_LENGTH}.`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

/** Keeps the base version of the file current, so that the next change can start from it. */
function updateBaseVersion(file: string, text: string, version: number): void {
  if (!BASE_VERSION_LINE.test(text)) return;
  writeFileSync(file, text.replace(BASE_VERSION_LINE, `baseVersion: ${version}`));
}

/** Creates the command that puts a declaration file in force. */
export function createApplyCommand(io: OperatorIo) {
  return command({
    name: 'apply',
    description:
      'Put a declaration file in force as a whole. Refused when another change came after the base version. Updates baseVersion in the file when it has one.',
    args: {
      file: positional({ type: string, displayName: 'FILE', description: 'declaration file' }),
      base: createNumberOption(
        'base',
        'version that the change was made against; default: baseVersion in the file',
      ),
      ...CHANGE_ARGUMENTS,
      ...COMMON_ARGUMENTS,
    },
    examples: [
      {
        description: 'Apply what diff showed against version 7',
        command: 'clementinefork apply rodopi.yaml --base 7 --note "peak of the season"',
      },
      {
        description: 'Find out how a run ended whose answer was lost',
        command: 'clementinefork apply rodopi.yaml --base 7 --write-id ID',
      },
    ],
    handler: ({ settings, isJson, file, base, note, operator, writeId: givenId }) =>
      runWithContext(io, settings, async (context) => {
        checkNote(note);
        const text = readTextFile(file);
        const { declaration, baseVersion } = parseDeclarationFile(file, text);
        const writeId = givenId ?? io.createWriteId();
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
