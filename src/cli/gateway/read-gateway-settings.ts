import type { Logger } from '../../core/logs/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import type { GatewaySettings, ReplacedValue } from '../../platform/index.ts';
import { buildGatewaySettingsSchema } from '../../platform/index.ts';

/**
 * Reads the settings of the gateway. Warns of each figure of a valid file that is missing or unusable, with
 * the one that holds instead.
 */
export function readGatewaySettings(file: string, logger: Pick<Logger, 'warn'>): GatewaySettings {
  const replacedValues: ReplacedValue[] = [];
  const schema = buildGatewaySettingsSchema((replaced) => replacedValues.push(replaced));
  const settings = readSettings(file, schema);
  for (const { field, value, usual } of replacedValues) {
    logger.warn('a setting is missing or unusable; the usual value holds', {
      field,
      value: value === undefined ? 'missing' : String(JSON.stringify(value)),
      usual,
    });
  }
  return settings;
}
