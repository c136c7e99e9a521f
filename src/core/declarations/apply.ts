import { createError, ErrorKind } from '../errors/index.ts';
import type { PlatformClient, WriteResult } from '../platform/index.ts';
import { WriteOutcome } from '../platform/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { ConfigurationInForce, VersionedChange } from './configuration.ts';
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

/** Who changes the configuration, and the id under which a lost answer is settled. */
export interface ChangeAuthor {
  operator: string;
  note: string;
  /** Unique id of the write; a repetition after a lost answer uses the same id. */
  writeId: string;
}

/** A declaration to put in force in place of a version. */
export interface DeclarationChange extends ChangeAuthor {
  declaration: Declaration;
  /** Version that the operator made the change against. */
  baseVersion: number;
}

/** How an application ended. */
export enum ApplyOutcome {
  Applied = 'applied',
  /** The declaration is already in force; nothing was written. */
  Unchanged = 'unchanged',
  /** Another change came first; nothing was written. */
  Conflict = 'conflict',
}

/** A row on which the configuration in force and the refused declaration differ. */
export interface ConflictRow {
  /** Change from the row in force to the row of the refused declaration. */
  change: RowChange;
  /** Changes of other operators to this row since the base version. */
  otherChanges: VersionedChange[];
}

/** Both sides of a refused change. */
export interface ApplyConflict {
  baseVersion: number;
  /** Version in force. */
  version: number;
  /** Changes of other operators since the base version, oldest first. */
  otherChanges: VersionedChange[];
  /** False when the records no longer reach back to the base version. */
  isHistoryComplete: boolean;
  rows: ConflictRow[];
}

export type ApplyResult =
  | { outcome: ApplyOutcome.Unchanged; version: number }
  | {
      outcome: ApplyOutcome.Applied;
      /** Version in force; a later change may have made it. */
      version: number;
      /** Version that the change made. */
      appliedVersion: number;
      /** Empty when an earlier run with the same write id had made the change. */
      changes: RowChange[];
    }
  | { outcome: ApplyOutcome.Conflict; conflict: ApplyConflict };

/** How one conditional write of the configuration ended. */
export type ConfigurationWrite =
  | Exclude<ApplyResult, { outcome: ApplyOutcome.Conflict }>
  | { outcome: ApplyOutcome.Conflict; inForce: ConfigurationInForce };

/** Builds the report of a refused change from the configuration that came first. */
export function buildConflict(
  inForce: ConfigurationInForce,
  change: Pick<DeclarationChange, 'baseVersion' | 'declaration'>,
): ApplyConflict {
  const { baseVersion } = change;
  const otherChanges = listChanges(inForce).filter((record) => record.baseVersion >= baseVersion);
  const before = getDeclaration(inForce.configuration);
  return {
    baseVersion,
    version: inForce.version,
    otherChanges,
    isHistoryComplete: otherChanges.some((record) => record.baseVersion === baseVersion),
    rows: diffDeclarations(before, change.declaration).map((row) => ({
      change: row,
      otherChanges: otherChanges.filter((record) => hasChangedRow(record, row.path)),
    })),
  };
}

/** Returns the result of an earlier run with the same write id if it made its change. */
export function findEarlierResult(
  inForce: ConfigurationInForce,
  writeId: string,
): ApplyResult | undefined {
  const { version } = inForce;
  const record = listChanges(inForce).find((change) => change.writeId === writeId);
  if (record === undefined) return undefined;
  const appliedVersion = record.version;
  return { outcome: ApplyOutcome.Applied, version, appliedVersion, changes: [] };
}

/** Returns the version that a write made, also when a later write has replaced it. */
function getAppliedVersion({ version, current }: WriteResult, writeId: string): number {
  if (current === undefined) return version;
  const changes = listChanges(parseConfiguration(current));
  return changes.find((change) => change.writeId === writeId)?.version ?? version;
}

/** Writes a declaration in place of the configuration that was read. */
export async function writeConfiguration(
  client: PlatformClient,
  timers: Pick<TimerService, 'getWallMs'>,
  inForce: ConfigurationInForce,
  declaration: Declaration,
  { operator, note, writeId }: ChangeAuthor,
): Promise<ConfigurationWrite> {
  const { version: baseVersion, configuration } = inForce;
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
    return { outcome: ApplyOutcome.Conflict, inForce: parseConfiguration(result.current) };
  }
  const appliedVersion = getAppliedVersion(result, writeId);
  return { outcome: ApplyOutcome.Applied, version: result.version, appliedVersion, changes };
}

/** Two operators who ask for the same rows do not contradict each other. */
function buildRefusal(inForce: ConfigurationInForce, change: DeclarationChange): ApplyResult {
  const conflict = buildConflict(inForce, change);
  if (conflict.rows.length > 0) return { outcome: ApplyOutcome.Conflict, conflict };
  return { outcome: ApplyOutcome.Unchanged, version: inForce.version };
}

/**
 * Puts a declaration in force by one conditional write against the base version of the change.
 * Fails with `WriteUndecided` when a lost answer could not be settled.
 */
export async function applyDeclaration(
  client: PlatformClient,
  timers: Pick<TimerService, 'getWallMs'>,
  change: DeclarationChange,
): Promise<ApplyResult> {
  const inForce = await fetchConfiguration(client);
  const earlier = findEarlierResult(inForce, change.writeId);
  if (earlier !== undefined) return earlier;
  if (inForce.version !== change.baseVersion) return buildRefusal(inForce, change);
  const result = await writeConfiguration(client, timers, inForce, change.declaration, change);
  if (result.outcome !== ApplyOutcome.Conflict) return result;
  return buildRefusal(result.inForce, change);
}

/** Creates the error for a refused change. */
export function createConflictError({ baseVersion, version }: ApplyConflict): Error {
  return createError(ErrorKind.DeclarationConflict, { baseVersion, version });
}
