import { flag, number, option, optional, string } from 'cmd-ts';
import { DEFAULT_SETTINGS_FILE } from './consts.ts';

/** Options of every command. */
export const COMMON_ARGUMENTS = {
  settings: option({
    type: string,
    long: 'settings',
    description: 'YAML settings file: where the object API and the daemons are',
    defaultValue: () => DEFAULT_SETTINGS_FILE,
    defaultValueIsSerializable: true,
  }),
  isJson: flag({ long: 'json', description: 'print JSON for programs' }),
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
    description: 'reason of the change, for the history',
    defaultValue: () => '',
  }),
  operator: option({
    type: optional(string),
    long: 'operator',
    description: 'name in the history; default: the setting operator, or USER',
  }),
  writeId: option({
    type: optional(string),
    long: 'write-id',
    description:
      'id of an earlier run whose outcome is not known; settles it without a second write',
  }),
};

/** Creates an option with a whole number. */
export function createNumberOption(long: string, description: string) {
  return option({ type: optional(number), long, description });
}
