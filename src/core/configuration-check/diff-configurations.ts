import { isDeepStrictEqual } from 'node:util';
import type { ServingConfiguration } from '../serving/index.ts';
import type { Difference } from './types.ts';
import { DifferenceKind } from './types.ts';

/** Path in a difference for the limits on what callers send. */
const LIMITS_PATH = 'limits';

type Entries = Map<string, object>;

/** Lists the entries of a configuration by path; of entries with one name, the last one holds. */
function buildEntries(configuration: ServingConfiguration): Entries {
  const { routes, services, customers = [], limits } = configuration;
  return new Map<string, object>([
    ...routes.map((route): [string, object] => [`routes/${route.name}`, route]),
    ...services.map((service): [string, object] => [`services/${service.name}`, service]),
    ...customers.map((customer): [string, object] => [`customers/${customer.name}`, customer]),
    [LIMITS_PATH, limits],
  ]);
}

function listChangedFields(before: object, after: object): string[] {
  const left = new Map<string, unknown>(Object.entries(before));
  const right = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...left.keys(), ...right.keys()])].filter(
    (name) => !isDeepStrictEqual(left.get(name), right.get(name)),
  );
}

/**
 * Lists the entries that differ, with the names of their fields. Values are left out, since fields of
 * customers contain their keys.
 */
export function diffConfigurations(
  before: ServingConfiguration,
  after: ServingConfiguration,
): Difference[] {
  const left = buildEntries(before);
  const right = buildEntries(after);
  return [...new Set([...left.keys(), ...right.keys()])].flatMap((path): Difference[] => {
    const [old, current] = [left.get(path), right.get(path)];
    if (old === undefined) return [{ kind: DifferenceKind.Added, path, fields: [] }];
    if (current === undefined) return [{ kind: DifferenceKind.Removed, path, fields: [] }];
    const fields = listChangedFields(old, current);
    return fields.length === 0 ? [] : [{ kind: DifferenceKind.Changed, path, fields }];
  });
}
