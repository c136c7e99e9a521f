import { formatProblem } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
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

/** Reads the settings again and returns those in force; if that fails, the current ones stay so. */
export function reloadSettings(
  current: GatewayParameters,
  readSettings: () => GatewayParameters,
  logger: Logger,
): GatewayParameters {
  try {
    const { settings, appliedNames, restartNames } = planReload(current, readSettings());
    logger.info('read the settings again', {
      applied: appliedNames.join(' '),
      needRestart: restartNames.join(' '),
    });
    return settings;
  } catch (error) {
    logger.error('failed to reload the settings; the previous settings stay in force', {
      problem: formatProblem(error),
    });
    return current;
  }
}
