import { array, command, multioption, option, string } from 'cmd-ts';
import { createError, ErrorKind } from '../../errors/index.ts';
import type { LogEntry } from '../../explanations/index.ts';
import { explainRequest, parseLog } from '../../explanations/index.ts';
import { readTextFile } from '../../settings/index.ts';
import { COMMON_ARGUMENTS } from '../arguments.ts';
import { printResult } from '../output.ts';
import type { OperatorIo } from '../types.ts';

function formatEntry({ wallMs, source, message, values }: LogEntry): string {
  const detail = Object.entries(values)
    .filter(([, value]) => value !== '')
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
  return `${new Date(wallMs).toISOString()} ${source}: ${message} ${detail}`;
}

/** Creates the command that finds in captured gateway logs why a request failed. */
export function createExplainCommand(io: OperatorIo) {
  return command({
    name: 'explain',
    description: 'Print the path of a request through the gateways and the cause of its outcome.',
    args: {
      request: option({ type: string, long: 'request', description: "id of the client's request" }),
      files: multioption({
        type: array(string),
        long: 'log',
        description: 'file with captured gateway logs; can be repeated',
      }),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      {
        description: 'Explain a request',
        command: 'clementinefork explain --request a97e5e52846d3f55 --log gateways.log',
      },
    ],
    handler: async ({ request, files, isJson }) => {
      const entries = files.flatMap((file) => parseLog(readTextFile(file), file));
      const explanation = explainRequest(entries, request);
      if (explanation === undefined) {
        throw createError(ErrorKind.UsageInvalid, {
          problem: `No log line mentions request ${request}. It was answered in time, or its log line was dropped.`,
        });
      }
      const lines = [...explanation.path.map(formatEntry), `Cause: ${explanation.cause}`];
      printResult(io, isJson, explanation, lines);
    },
  });
}
