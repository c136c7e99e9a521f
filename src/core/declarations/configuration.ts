import { createError, ErrorKind } from '../errors/index.ts';
import type { PlatformClient, PlatformObject } from '../object-api/index.ts';
import { formatPath } from '../settings/index.ts';
import {
  CONFIG_KIND,
  CONFIG_NAME,
  MAX_CHANGE_RECORD_BYTES,
  MAX_CHANGE_RECORDS,
  MAX_RECORDED_ROWS,
} from './consts.ts';
import type { RowChange } from './diff.ts';
import { configurationSchema } from './schema.ts';
import type { ChangeRecord, Configuration, Declaration } from './types.ts';

/** The current configuration; version 0 is the empty configuration before the first change. */
export interface CurrentConfiguration {
  version: number;
  configuration: Configuration;
}

/** A change record with the version that the change created. */
export interface VersionedChange extends ChangeRecord {
  version: number;
}

/**
 * Parses the configuration in a platform object; no object means version 0. Throws
 * `DeclarationInvalid` if the value does not match the schema.
 */
export function parseConfiguration(object: PlatformObject | undefined): CurrentConfiguration {
  const result = configurationSchema.safeParse(object?.value ?? {});
  if (result.success) return { version: object?.version ?? 0, configuration: result.data };
  const [issue] = result.error.issues;
  throw createError(ErrorKind.DeclarationInvalid, {
    file: `${CONFIG_KIND}/${CONFIG_NAME}`,
    path: formatPath(issue?.path ?? []),
    problem: `${issue?.message ?? 'invalid value'} in version ${object?.version ?? 0}.`,
  });
}

/** Fetches the current configuration from the platform. */
export async function fetchConfiguration(client: PlatformClient): Promise<CurrentConfiguration> {
  return parseConfiguration(await client.fetchObject(CONFIG_KIND, CONFIG_NAME));
}

/** Returns the part of a configuration that operators declare, without the change records. */
export function getDeclaration(configuration: Configuration): Declaration {
  const { changes, ...declaration } = configuration;
  return declaration;
}

/** Lists the change records, oldest first, with the versions that the changes created. */
export function listChanges({ version, configuration }: CurrentConfiguration): VersionedChange[] {
  const { changes } = configuration;
  return changes.map((record, index) => ({
    ...record,
    // The base version of the next change is the version that this one created.
    version: changes[index + 1]?.baseVersion ?? version,
  }));
}

/** Lists the paths for a change record: rows, or whole sections such as `limits/*`. */
export function listRecordedRows(changes: readonly RowChange[]): string[] {
  if (changes.length <= MAX_RECORDED_ROWS) return changes.map(({ path }) => path);
  return [...new Set(changes.map(({ path }) => `${path.split('/')[0]}/*`))];
}

/** Tells whether a change record lists a row or its whole section. */
export function hasChangedRow(record: ChangeRecord, path: string): boolean {
  const section = `${path.split('/')[0]}/*`;
  return record.changedRows.includes(path) || record.changedRows.includes(section);
}

/** Keeps the newest records within the limits on their number and total size. */
function trimChanges(changes: readonly ChangeRecord[]): ChangeRecord[] {
  const kept: ChangeRecord[] = [];
  let bytes = 0;
  for (const record of changes.slice(-MAX_CHANGE_RECORDS).reverse()) {
    bytes += Buffer.byteLength(JSON.stringify(record));
    // Always keep the newest record: after a lost response it shows whether the write took effect.
    if (kept.length > 0 && bytes > MAX_CHANGE_RECORD_BYTES) break;
    kept.unshift(record);
  }
  return kept;
}

/** Builds the configuration that results from a change. */
export function buildConfiguration(
  declaration: Declaration,
  before: Configuration,
  record: ChangeRecord,
): Configuration {
  return { ...declaration, changes: trimChanges([...before.changes, record]) };
}
