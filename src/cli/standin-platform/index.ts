import { command, option, string } from 'cmd-ts';
import { createLogger } from '../../core/logs/index.ts';
import { runDaemon, runProgram } from '../../core/process/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import {
  createStandInPlatform,
  readStandInPlatformSettings,
} from '../../stand-ins/platform/index.ts';

const logger = createLogger('standin-platform');

const standInPlatform = command({
  name: 'standin-platform',
  description: "Simulates the platform's object API and VM list in tests and demos.",
  args: {
    settings: option({ type: string, long: 'settings', description: 'YAML settings file' }),
  },
  handler: ({ settings }) =>
    runDaemon({
      logger,
      start: async () => {
        const { address, port, vms } = readStandInPlatformSettings(settings);
        const standIn = await createStandInPlatform({
          address,
          port,
          vms,
          timers: createTimerService(),
        });
        logger.info('listening', { address, port, vms: vms.length });
        return { stop: standIn.close };
      },
    }),
});

await runProgram(standInPlatform);
