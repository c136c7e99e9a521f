import type { GatewayParameters } from './types.ts';

/** Effect of a changed settings file on a running gateway. */
export interface SettingsReload {
  /** Settings in force after the reload. */
  settings: GatewayParameters;
  /** Names of changed settings that apply without a restart. */
  appliedNames: string[];
  /** Names of changed settings that need a restart, such as the VM's name, zone and addresses. */
  restartNames: string[];
}

/** Settings that the gateway reads at each use, so that a new value applies at once. */
const RELOADABLE_NAMES: ReadonlySet<string> = new Set<keyof GatewayParameters>([
  'graceMs',
  'retryRatio',
  'retrySlack',
  'maxDirectoryTtlMs',
]);

/** Compares new settings with those in force and applies the reloadable ones. */
export function planReload(current: GatewayParameters, next: GatewayParameters): SettingsReload {
  const names = Object.keys(next) as (keyof GatewayParameters)[];
  const changed = names.filter(
    (name) => JSON.stringify(next[name]) !== JSON.stringify(current[name]),
  );
  const appliedNames = changed.filter((name) => RELOADABLE_NAMES.has(name));
  const applied = Object.fromEntries(appliedNames.map((name) => [name, next[name]]));
  return {
    settings: { ...current, ...applied },
    appliedNames,
    // The flag only distinguishes the first start of the system; a running gateway ignores changes.
    restartNames: changed.filter((name) => !RELOADABLE_NAMES.has(name) && name !== 'isFirstStart'),
  };
}
