import { command, option, optional, string } from 'cmd-ts';
import { createLogger } from '../../core/logs/index.ts';
import { requireSettingsFile, runDaemon, runProgram } from '../../core/process/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import { createStandInService, serviceSettingsSchema } from '../../stand-ins/service/index.ts';

const logger = createLogger('standin-service');

const standIn = command({
  name: 'standin-service',
  description: 'Simulates the targets of a plain service in tests and demos.',
  args: { settings: option({ type: optional(string), long: 'settings' }) },
  handler: ({ settings: file }) =>
    runDaemon({
      logger,
      start: async () => {
        const settings = readSettings(requireSettingsFile(file), serviceSettingsSchema);
        const server = createStandInService(settings, createTimerService());
        await server.start();
        logger.info('started', { targets: server.targets.length });
        return server;
      },
    }),
});

await runProgram(standIn);
