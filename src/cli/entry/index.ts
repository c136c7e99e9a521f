import { command, flag, option, optional, string } from 'cmd-ts';
import { stringify } from 'yaml';
import { createEntryDaemon, entrySettingsSchema } from '../../core/entry/index.ts';
import { createLogger } from '../../core/logs/index.ts';
import { getSettingsFile, runDaemon, runProgram } from '../../core/process/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import { createTimerService } from '../../core/timers/index.ts';

/** Required settings of the example that `--print-settings` prints with all defaults. */
const EXAMPLE = {
  name: 'entry-1',
  address: '10.0.0.1',
  availabilityZone: 'sofia-a',
  region: 'sofia',
  platform: { address: '10.0.0.100', port: 7000 },
  seeds: [{ address: '10.0.0.2', port: 8082 }],
};

const logger = createLogger('entry');

const entry = command({
  name: 'clementinefork-entry',
  description: 'Serves callers on one entry VM.',
  args: {
    settings: option({
      type: optional(string),
      long: 'settings',
      description: 'YAML settings file',
    }),
    printSettings: flag({
      long: 'print-settings',
      description: 'print an example with all settings and defaults, and exit',
    }),
  },
  handler: async ({ settings, printSettings }) => {
    if (printSettings) {
      process.stdout.write(stringify(entrySettingsSchema.parse(EXAMPLE)));
      return;
    }
    await runDaemon(logger, async () => {
      const values = readSettings(getSettingsFile(settings), entrySettingsSchema);
      return createEntryDaemon(values, createTimerService(), logger);
    });
  },
});

await runProgram(entry);
