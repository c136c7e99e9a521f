import { isDeepStrictEqual } from 'node:util';
import { createError, ErrorKind } from '../errors/index.ts';
import type { PlatformClient } from '../platform/index.ts';
import { formatSuggestion } from '../suggestions/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { AvailabilityZoneState } from '../world/index.ts';
import type { ApplyResult, ChangeAuthor } from './apply.ts';
import { ApplyOutcome, buildConflict, findEarlierResult, writeConfiguration } from './apply.ts';
import type { ConfigurationInForce } from './configuration.ts';
import { fetchConfiguration, getDeclaration } from './configuration.ts';
import type { AvailabilityZoneRow, Declaration } from './types.ts';

/**
 * Attempts when other changes are written first. An attempt only fails if another change is written
 * within the milliseconds between its read and its write.
 */
const MAX_ATTEMPTS = 5;

/** A change that takes an availability zone out of service or brings it back. */
export interface ZoneChange extends ChangeAuthor {
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
  let inForce: ConfigurationInForce = await fetchConfiguration(client);
  const earlier = findEarlierResult(inForce, change.writeId);
  if (earlier !== undefined) return earlier;
  const seen = findZone(getDeclaration(inForce.configuration), change.availabilityZone);
  const wanted = { ...seen, state: change.state };
  let author: ChangeAuthor = change;
  for (let attempt = 1; ; attempt++) {
    const { version: baseVersion } = inForce;
    const declaration = setZoneRow(getDeclaration(inForce.configuration), wanted);
    const result = await writeConfiguration(client, timers, inForce, declaration, author);
    if (result.outcome !== ApplyOutcome.Conflict) return result;
    inForce = result.inForce;
    const before = getDeclaration(inForce.configuration);
    const current = findZone(before, change.availabilityZone);
    const isOvertaken = !isDeepStrictEqual(current, seen) && !isDeepStrictEqual(current, wanted);
    if (isOvertaken || attempt === MAX_ATTEMPTS) {
      const refused = { baseVersion, declaration: setZoneRow(before, wanted) };
      return { outcome: ApplyOutcome.Conflict, conflict: buildConflict(inForce, refused) };
    }
    author = { ...change, writeId: createWriteId() };
  }
}
