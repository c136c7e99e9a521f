import { command, positional, string } from 'cmd-ts';
import { parseDeclarationFile, SECTIONS } from '../../declarations/index.ts';
import { readTextFile } from '../../settings/index.ts';
import { COMMON_ARGUMENTS } from '../arguments.ts';
import { printResult } from '../output.ts';
import type { OperatorIo } from '../types.ts';

/** Creates the command that validates a declaration file without contacting the object API. */
export function createValidateCommand(io: OperatorIo) {
  return command({
    name: 'validate',
    description: 'Check a declaration file without sending anything.',
    args: {
      file: positional({ type: string, displayName: 'FILE', description: 'declaration file' }),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      { description: 'Check a file', command: 'clementinefork validate rodopi.yaml' },
      {
        description: 'Check a file in a script; exit status 2 means invalid',
        command: 'clementinefork validate rodopi.yaml --json',
      },
    ],
    handler: async ({ file, isJson }) => {
      const { declaration, baseVersion } = parseDeclarationFile(file, readTextFile(file));
      const rows = Object.fromEntries(
        SECTIONS.map((section) => [section, declaration[section].length]),
      );
      const bytes = Buffer.byteLength(JSON.stringify(declaration));
      const counts = SECTIONS.map((section) => `${section}: ${declaration[section].length}`);
      printResult(io, isJson, { file, valid: true, baseVersion, bytes, rows }, [
        `${file} is valid (${bytes} bytes; ${counts.join(', ')}).`,
      ]);
    },
  });
}
