import { createEntryDaemon, entrySettingsSchema } from '../../core/entry/index.ts';
import { createLogger } from '../../core/logs/index.ts';
import type { SignalInbox } from '../../core/process/index.ts';
import { createDaemonCommand, runProgram } from '../../core/process/index.ts';
import { createTimerService } from '../../core/timers/index.ts';

const logger = createLogger('entry');

/** Runs the entry daemon with the command-line arguments of the process. */
export function runEntry(signals: SignalInbox): Promise<void> {
  return runProgram(
    createDaemonCommand({
      name: 'clementinefork-entry',
      description: 'Accepts requests of callers on one entry VM and forwards them to targets.',
      logger,
      signals,
      schema: entrySettingsSchema,
      example: {
        name: 'entry-1',
        address: '10.0.0.1',
        availabilityZone: 'sofia-a',
        region: 'sofia',
        platform: { address: '10.0.0.100', port: 7000 },
        seeds: [{ address: '10.0.0.2', port: 8082 }],
      },
      start: (settings) => createEntryDaemon(settings, createTimerService(), logger),
    }),
  );
}
