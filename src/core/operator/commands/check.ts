import { command, option, optional, positional, string } from 'cmd-ts';
import type { Difference, Finding } from '../../configuration-check/index.ts';
import {
  diffConfigurations,
  FindingKind,
  listFindings,
  listVersionFindings,
  Severity,
} from '../../configuration-check/index.ts';
import { createError, ErrorKind } from '../../errors/index.ts';
import type { ServingConfiguration } from '../../serving/index.ts';
import { parseYaml, readTextFile } from '../../settings/index.ts';
import { COMMON_ARGUMENTS } from '../arguments.ts';
import { printResult } from '../output.ts';
import type { ConfigurationReader, OperatorIo, ReadConfiguration } from '../types.ts';

function readFile(reader: ConfigurationReader, file: string): ReadConfiguration {
  return reader.decode(parseYaml(file, readTextFile(file), ErrorKind.SettingsUnreadable));
}

/** Reads the version in force; throws if it was asked for and cannot be read. */
async function readInForce(
  reader: ConfigurationReader,
  file: string | undefined,
  storeAddress: string | undefined,
): Promise<ServingConfiguration | undefined> {
  if (file !== undefined && storeAddress !== undefined) {
    const problem = 'Pass either --in-force or --store.';
    throw createError(ErrorKind.UsageInvalid, { problem });
  }
  const source = file ?? storeAddress;
  if (source === undefined) return undefined;
  const read = file === undefined ? await reader.fetchInForce(source) : readFile(reader, file);
  if ('value' in read) return read.value;
  const problem = `The version in force cannot be read from ${source}: ${read.problem}`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

function buildFindings(
  read: ReadConfiguration,
  inForce: ServingConfiguration | undefined,
): Finding[] {
  if ('problem' in read) {
    const { problem } = read;
    return [{ severity: Severity.Error, kind: FindingKind.Invalid, path: '', problem }];
  }
  const versionFindings = inForce === undefined ? [] : listVersionFindings(inForce, read.value);
  return [...versionFindings, ...listFindings(read.value)];
}

function formatFinding({ severity, path, problem }: Finding): string {
  return `${severity}: ${path === '' ? '' : `${path}: `}${problem}`;
}

function formatDifference({ kind, path, fields }: Difference): string {
  return fields.length === 0 ? `${kind}: ${path}` : `${kind}: ${path} (${fields.join(', ')})`;
}

/** Creates the command that checks a configuration of the gateways before it is sent. */
export function createCheckCommand(io: OperatorIo) {
  return command({
    name: 'check',
    description:
      'Check a configuration of the gateways before it is sent: errors, entries that never match, limits that contradict each other, and what differs from the version in force.',
    args: {
      file: positional({
        type: string,
        displayName: 'FILE',
        description: 'configuration as the platform takes it, in JSON or YAML',
      }),
      inForce: option({
        type: optional(string),
        long: 'in-force',
        description: 'file with the version in force, to compare with',
      }),
      store: option({
        type: optional(string),
        long: 'store',
        description: 'HOST:PORT of the store to read the version in force from',
      }),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      { description: 'Check a file', command: 'clementinefork check next.json' },
      {
        description: 'Also compare it with the version in force; exit status 2 means errors',
        command: 'clementinefork check next.json --store 10.200.1.7:8223 --json',
      },
    ],
    handler: async ({ file, inForce: inForceFile, store, isJson }) => {
      const reader = io.configurationReader;
      const inForce = await readInForce(reader, inForceFile, store);
      const read = readFile(reader, file);
      const findings = buildFindings(read, inForce);
      const errors = findings.filter(({ severity }) => severity === Severity.Error).length;
      const differences =
        inForce === undefined || 'problem' in read ? [] : diffConfigurations(inForce, read.value);
      printResult(io, isJson, { file, errors, findings, differences }, [
        ...findings.map(formatFinding),
        ...differences.map(formatDifference),
        `${file}: ${errors} errors, ${findings.length - errors} warnings.`,
      ]);
      if (errors > 0) {
        throw createError(ErrorKind.ConfigurationInvalid, {
          file,
          errors,
          findings: findings.length,
        });
      }
    },
  });
}
