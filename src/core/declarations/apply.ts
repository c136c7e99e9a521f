import { createError, ErrorKind } from '../errors/index.ts';
import type { PlatformClient, WriteResult } from '../object-api/index.ts';
import { WriteOutcome } from '../object-api/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { CurrentConfiguration, VersionedChange } from './configuration.ts';
import {
  buildConfiguration,
  fetchConfiguration,
  getDeclaration,
  hasChangedRow,
  listChanges,
  listRecordedRows,
  parseConfiguration,
} from './configuration.ts';
import { CONFIG_KIND, CONFIG_NAME } from './consts.ts';
import type { RowChange } from './diff.ts';
import { diffDeclarations } from './diff.ts';
import { checkDeclarationSize } from './parse.ts';
import type { Declaration } from './types.ts';

/** Operator, note and write id of a change to the configuration. */
export interface ChangeMetadata {
  operator: string;
  note: string;
  /** Unique id of the write; a retry after a lost response uses the same id. */
  writeId: string;
}

/** A declaration that replaces a version of the configuration. */
export interface DeclarationChange extends ChangeMetadata {
  declaration: Declaration;
  /** Version that the change is based on. */
  baseVersion: number;
}

/** Outcome of applying a change. */
export enum ApplyOutcome {
  Applied = 'applied',
  /** The current configuration already matches the declaration; nothing was written. */
  Unchanged = 'unchanged',
  /** Another change was written first; nothing was written. */
  Conflict = 'conflict',
}

/** A row that differs between the current configuration and the refused declaration. */
export interface ConflictRow {
  /** Change from the current row to the row of the refused declaration. */
  change: RowChange;
  /** Other changes to this row since the base version. */
  otherChanges: VersionedChange[];
}

/** Report on a refused change and the changes that were written before it. */
export interface ApplyConflict {
  baseVersion: number;
  /** Current version. */
  version: number;
  /** Other changes since the base version, oldest first. */
  otherChanges: VersionedChange[];
  /** False if older change records were trimmed, so that `otherChanges` is incomplete. */
  isHistoryComplete: boolean;
  rows: ConflictRow[];
}

/** Result of applying a change. */
export type ApplyResult =
  | { outcome: ApplyOutcome.Unchanged; version: number }
  | {
      outcome: ApplyOutcome.Applied;
      /** Current version; a later change may have created it. */
      version: number;
      /** Version that the change created. */
      appliedVersion: number;
      /** Rows that changed; empty if an earlier run with the same write id applied the change. */
      changes: RowChange[];
    }
  | { outcome: ApplyOutcome.Conflict; conflict: ApplyConflict };

/** Result of one conditional write of the configuration. */
export type ConfigurationWrite =
  | Exclude<ApplyResult, { outcome: ApplyOutcome.Conflict }>
  | { outcome: ApplyOutcome.Conflict; current: CurrentConfiguration };

/** Builds the report on a refused change from the configuration that was written before it. */
export function buildConflict(
  current: CurrentConfiguration,
  change: Pick<DeclarationChange, 'baseVersion' | 'declaration'>,
): ApplyConflict {
  const { baseVersion } = change;
  const otherChanges = listChanges(current).filter((record) => record.baseVersion >= baseVersion);
  const before = getDeclaration(current.configuration);
  return {
    baseVersion,
    version: current.version,
    otherChanges,
    isHistoryComplete: otherChanges.some((record) => record.baseVersion === baseVersion),
    rows: diffDeclarations(before, change.declaration).map((row) => ({
      change: row,
      otherChanges: otherChanges.filter((record) => hasChangedRow(record, row.path)),
    })),
  };
}

/** Returns the result of an earlier run with the same write id if its change took effect. */
export function findEarlierResult(
  current: CurrentConfiguration,
  writeId: string,
): ApplyResult | undefined {
  const { version } = current;
  const record = listChanges(current).find((change) => change.writeId === writeId);
  if (record === undefined) return undefined;
  const appliedVersion = record.version;
  return { outcome: ApplyOutcome.Applied, version, appliedVersion, changes: [] };
}

/** Returns the version that a write created, even if a later write has replaced it. */
function getAppliedVersion({ version, current }: WriteResult, writeId: string): number {
  if (current === undefined) return version;
  const changes = listChanges(parseConfiguration(current));
  return changes.find((change) => change.writeId === writeId)?.version ?? version;
}

/** Replaces the configuration that was read by a declaration, in one conditional write. */
export async function writeConfiguration(
  client: PlatformClient,
  timers: Pick<TimerService, 'getWallMs'>,
  current: CurrentConfiguration,
  declaration: Declaration,
  { operator, note, writeId }: ChangeMetadata,
): Promise<ConfigurationWrite> {
  const { version: baseVersion, configuration } = current;
  const changes = diffDeclarations(getDeclaration(configuration), declaration);
  if (changes.length === 0) return { outcome: ApplyOutcome.Unchanged, version: baseVersion };
  checkDeclarationSize(declaration);
  const wallMs = Math.floor(timers.getWallMs());
  const changedRows = listRecordedRows(changes);
  const record = { writeId, baseVersion, operator, wallMs, note, changedRows };
  const result = await client.writeObject({
    kind: CONFIG_KIND,
    name: CONFIG_NAME,
    baseVersion,
    writeId,
    value: buildConfiguration(declaration, configuration, record),
  });
  if (result.outcome === WriteOutcome.Conflict) {
    return { outcome: ApplyOutcome.Conflict, current: parseConfiguration(result.current) };
  }
  const appliedVersion = getAppliedVersion(result, writeId);
  return { outcome: ApplyOutcome.Applied, version: result.version, appliedVersion, changes };
}

/**
 * Builds the result for a change whose base version was replaced. It is not a conflict if the
 * current configuration already has the requested rows, for example after the same change of
 * another operator.
 */
function buildConflictResult(
  current: CurrentConfiguration,
  change: DeclarationChange,
): ApplyResult {
  const conflict = buildConflict(current, change);
  if (conflict.rows.length > 0) return { outcome: ApplyOutcome.Conflict, conflict };
  return { outcome: ApplyOutcome.Unchanged, version: current.version };
}

/**
 * Applies a declaration by one conditional write against the base version of the change. Fails with
 * `WriteUndecided` when the response was lost and it could not be determined whether the write took
 * effect.
 */
export async function applyDeclaration(
  client: PlatformClient,
  timers: Pick<TimerService, 'getWallMs'>,
  change: DeclarationChange,
): Promise<ApplyResult> {
  const current = await fetchConfiguration(client);
  const earlier = findEarlierResult(current, change.writeId);
  if (earlier !== undefined) return earlier;
  if (current.version !== change.baseVersion) return buildConflictResult(current, change);
  const result = await writeConfiguration(client, timers, current, change.declaration, change);
  if (result.outcome !== ApplyOutcome.Conflict) return result;
  return buildConflictResult(result.current, change);
}

/** Creates the `DeclarationConflict` error for a refused change. */
export function createConflictError({ baseVersion, version }: ApplyConflict): Error {
  return createError(ErrorKind.DeclarationConflict, { baseVersion, version });
}
