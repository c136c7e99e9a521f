import type { ApplyResult } from '../declarations/index.ts';
import { ApplyOutcome, createConflictError } from '../declarations/index.ts';
import { formatConflict, formatRowChanges } from './format-changes.ts';
import { printResult } from './output.ts';
import type { OperatorIo } from './types.ts';

/**
 * Prints the result of a change. For a conflict, prints both versions of each conflicting row and
 * throws an error of kind `DeclarationConflict`.
 */
export function printChangeResult(
  io: OperatorIo,
  isJson: boolean,
  writeId: string,
  result: ApplyResult,
): void {
  const value = { writeId, ...result };
  if (result.outcome === ApplyOutcome.Conflict) {
    printResult(io, isJson, value, formatConflict(result.conflict));
    throw createConflictError(result.conflict);
  }
  if (result.outcome === ApplyOutcome.Unchanged) {
    printResult(io, isJson, value, [`Nothing to change; version ${result.version} is in force.`]);
    return;
  }
  const { changes, version, appliedVersion } = result;
  const isReplaced = version !== appliedVersion;
  printResult(io, isJson, value, [
    ...formatRowChanges(changes),
    ...(changes.length === 0 ? [`The earlier run with write id ${writeId} made the change.`] : []),
    `The change is version ${appliedVersion} at the object API.`,
    ...(isReplaced ? [`A later change is in force: version ${version}.`] : []),
    'To wait until every daemon has this version: clementinefork status --wait',
  ]);
}
