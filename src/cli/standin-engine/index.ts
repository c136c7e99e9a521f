import { command, option, optional, string } from 'cmd-ts';
import { createLogger } from '../../core/logs/index.ts';
import { requireSettingsFile, runDaemon, runProgram } from '../../core/process/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import { createStandInEngine, engineSettingsSchema } from '../../stand-ins/engine/index.ts';

const logger = createLogger('standin-engine');

const standIn = command({
  name: 'standin-engine',
  description: 'Simulates engine members in tests and demos.',
  args: { settings: option({ type: optional(string), long: 'settings' }) },
  handler: ({ settings: file }) =>
    runDaemon({
      logger,
      start: async () => {
        const settings = readSettings(requireSettingsFile(file), engineSettingsSchema);
        const server = createStandInEngine(settings, createTimerService());
        await server.start();
        logger.info('started', { members: server.members.length });
        return server;
      },
    }),
});

await runProgram(standIn);
