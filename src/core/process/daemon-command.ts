import { command, flag, option, optional, string } from 'cmd-ts';
import { stringify } from 'yaml';
import type { z } from 'zod';
import type { Logger } from '../logs/index.ts';
import { readSettings } from '../settings/index.ts';
import type { Daemon } from './run-daemon.ts';
import { requireSettingsFile, runDaemon } from './run-daemon.ts';
import type { Program } from './run-program.ts';
import type { SignalInbox } from './signal-inbox.ts';

/** Options of `createDaemonCommand`. */
export interface DaemonCommandOptions<Schema extends z.ZodType> {
  name: string;
  description: string;
  logger: Logger;
  schema: Schema;
  /** Example values of the required settings; `--print-settings` prints them with all defaults. */
  example: z.input<Schema>;
  /** Signals of the process since its start. */
  signals: SignalInbox;
  start(settings: z.output<Schema>): Promise<Daemon>;
}

/** Creates the command of a daemon with the options `--settings FILE` and `--print-settings`. */
export function createDaemonCommand<Schema extends z.ZodType>(
  options: DaemonCommandOptions<Schema>,
): Program {
  const { name, description, example, logger, schema, signals, start } = options;
  return command({
    name,
    description,
    args: {
      settings: option({
        type: optional(string),
        long: 'settings',
        description: 'YAML settings file',
      }),
      printSettings: flag({
        long: 'print-settings',
        description: 'print an example with all settings and their defaults, and exit',
      }),
    },
    handler: async ({ settings, printSettings }) => {
      if (printSettings) {
        process.stdout.write(stringify(schema.parse(example)));
        return;
      }
      await runDaemon({
        logger,
        signals,
        start: async () => start(readSettings(requireSettingsFile(settings), schema)),
      });
    },
  });
}
