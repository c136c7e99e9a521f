import { flag, number, option, optional, string } from 'cmd-ts';
import { DEFAULT_SETTINGS_FILE } from './consts.ts';

/** Options that every command accepts. */
export const COMMON_ARGUMENTS = {
  settings: option({
    type: string,
    long: 'settings',
    description: 'YAML settings file with the addresses of the object API and the daemons',
    defaultValue: () => DEFAULT_SETTINGS_FILE,
    defaultValueIsSerializable: true,
  }),
  isJson: flag({ long: 'json', description: 'print the result as JSON' }),
  isPrintingSettings: flag({
    long: 'print-settings',
    description: 'print all settings with their defaults and exit',
  }),
};

/** Options of the commands that change the configuration. */
export const CHANGE_ARGUMENTS = {
  note: option({
    type: string,
    long: 'note',
    description: 'reason for the change, stored in the change history',
    defaultValue: () => '',
  }),
  operator: option({
    type: optional(string),
    long: 'operator',
    description:
      'name to record in the change history; default: the setting operator, or the environment variable USER',
  }),
  writeId: option({
    type: optional(string),
    long: 'write-id',
    description:
      'write id of an earlier run whose outcome is unknown; determines the outcome without writing twice',
  }),
};

/** Creates an optional option with a numeric value. */
export function createNumberOption(long: string, description: string) {
  return option({ type: optional(number), long, description });
}
