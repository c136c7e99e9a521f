import type { GatewayParameters } from './types.ts';

/** What a new settings file changes in a running gateway. */
export interface SettingsReload {
  /** Settings in force after the reload. */
  settings: GatewayParameters;
  /** Names of settings that are in force now. */
  appliedNames: string[];
  /** Names of settings that differ and need a restart: addresses, names and places of this VM. */
  restartNames: string[];
}

/** Settings that are read each time they are used. */
const RELOADABLE: ReadonlySet<string> = new Set<keyof GatewayParameters>([
  'graceMs',
  'retryRatio',
  'retrySlack',
  'maxDirectoryTtlMs',
]);

/** Compares a new settings file with the settings in force. */
export function planReload(current: GatewayParameters, next: GatewayParameters): SettingsReload {
  const names = Object.keys(next) as (keyof GatewayParameters)[];
  const changed = names.filter(
    (name) => JSON.stringify(next[name]) !== JSON.stringify(current[name]),
  );
  const appliedNames = changed.filter((name) => RELOADABLE.has(name));
  const applied = Object.fromEntries(appliedNames.map((name) => [name, next[name]]));
  return {
    settings: { ...current, ...applied },
    appliedNames,
    // The platform tells only the first start from later ones; it does not matter to a running one.
    restartNames: changed.filter((name) => !RELOADABLE.has(name) && name !== 'isFirstStart'),
  };
}
