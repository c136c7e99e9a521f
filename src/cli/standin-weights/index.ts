import { command, option, optional, string } from 'cmd-ts';
import { createLogger } from '../../core/logs/index.ts';
import { requireSettingsFile, runDaemon, runProgram } from '../../core/process/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import { createStandInWeights, weightsSettingsSchema } from '../../stand-ins/weights/index.ts';

const logger = createLogger('standin-weights');

const standIn = command({
  name: 'standin-weights',
  description: 'Simulates the weight store in tests and demos.',
  args: { settings: option({ type: optional(string), long: 'settings' }) },
  handler: ({ settings: file }) =>
    runDaemon({
      logger,
      start: async () => {
        const settings = readSettings(requireSettingsFile(file), weightsSettingsSchema);
        const server = createStandInWeights(settings, createTimerService());
        await server.start();
        logger.info('started', { port: server.port });
        return server;
      },
    }),
});

await runProgram(standIn);
