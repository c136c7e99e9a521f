import { isDeepStrictEqual } from 'node:util';
import { createError, ErrorKind } from '../errors/index.ts';
import type { PlatformClient } from '../object-api/index.ts';
import { formatSuggestion } from '../suggestions/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { AvailabilityZoneState } from '../domain-types/index.ts';
import type { ApplyResult, ChangeMetadata } from './apply.ts';
import { ApplyOutcome, buildConflict, findEarlierResult, writeConfiguration } from './apply.ts';
import type { CurrentConfiguration } from './configuration.ts';
import { fetchConfiguration, getDeclaration } from './configuration.ts';
import type { AvailabilityZoneRow, Declaration } from './types.ts';

/**
 * Attempts when other changes are written first. An attempt only fails if another change is written
 * within the milliseconds between its read and its write.
 */
const MAX_ATTEMPTS = 5;

/** A change that takes an availability zone out of service or brings it back. */
export interface ZoneChange extends ChangeMetadata {
  availabilityZone: string;
  state: AvailabilityZoneState;
}

function findZone(declaration: Declaration, name: string): AvailabilityZoneRow {
  const names = declaration.availabilityZones.map((zone) => zone.name);
  const zone = declaration.availabilityZones.find((row) => row.name === name);
  if (zone !== undefined) return zone;
  const suggestion = formatSuggestion(name, names);
  const problem = `Unknown availability zone "${name}"${suggestion || '.'}`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

function setZoneRow(declaration: Declaration, row: AvailabilityZoneRow): Declaration {
  const availabilityZones = declaration.availabilityZones.map((zone) =>
    zone.name === row.name ? row : zone,
  );
  return { ...declaration, availabilityZones };
}

/**
 * Sets the state of one availability zone in the current configuration. When another change is
 * written first, the write is retried on top of it; only a change to the same row is a conflict.
 * Each attempt has its own write id, because an attempt that was refused can no longer take effect.
 */
export async function applyZoneState(
  client: PlatformClient,
  timers: Pick<TimerService, 'getWallMs'>,
  change: ZoneChange,
  createWriteId: () => string,
): Promise<ApplyResult> {
  let current: CurrentConfiguration = await fetchConfiguration(client);
  const earlier = findEarlierResult(current, change.writeId);
  if (earlier !== undefined) return earlier;
  const originalRow = findZone(getDeclaration(current.configuration), change.availabilityZone);
  const requestedRow = { ...originalRow, state: change.state };
  let metadata: ChangeMetadata = change;
  for (let attempt = 1; ; attempt++) {
    const { version: baseVersion } = current;
    const declaration = setZoneRow(getDeclaration(current.configuration), requestedRow);
    const result = await writeConfiguration(client, timers, current, declaration, metadata);
    if (result.outcome !== ApplyOutcome.Conflict) return result;
    current = result.current;
    const before = getDeclaration(current.configuration);
    const currentRow = findZone(before, change.availabilityZone);
    const hasRowConflict =
      !isDeepStrictEqual(currentRow, originalRow) && !isDeepStrictEqual(currentRow, requestedRow);
    if (hasRowConflict || attempt === MAX_ATTEMPTS) {
      const refused = { baseVersion, declaration: setZoneRow(before, requestedRow) };
      return { outcome: ApplyOutcome.Conflict, conflict: buildConflict(current, refused) };
    }
    metadata = { ...change, writeId: createWriteId() };
  }
}
