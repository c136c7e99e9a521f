import { randomUUID } from 'node:crypto';
import { command, flag, option, optional, string } from 'cmd-ts';
import { stringify } from 'yaml';
import type { ControllerSettings } from '../../core/controller/index.ts';
import {
  controllerSettingsSchema,
  createController,
  createDaemonLink,
  createEngineLink,
} from '../../core/controller/index.ts';
import { createEventRecorder } from '../../core/events/index.ts';
import { createLogger } from '../../core/logs/index.ts';
import { createPlatformClient } from '../../core/platform/index.ts';
import type { Daemon } from '../../core/process/index.ts';
import { getSettingsFile, runDaemon, runProgram } from '../../core/process/index.ts';
import { createPeerLinks } from '../../core/rpc/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import { createTimerService } from '../../core/timers/index.ts';

/** Required settings of the example that `--print-settings` prints with all defaults. */
const EXAMPLE = {
  vm: 'entry-1',
  availabilityZone: 'sofia-a',
  platform: { address: '10.0.0.100', port: 7000 },
  daemon: { address: '10.0.0.1', port: 8081 },
};

const logger = createLogger('controller');

function startController(settings: ControllerSettings): Daemon {
  const timers = createTimerService();
  const holder = `${settings.vm}/${randomUUID()}`;
  const links = createPeerLinks();
  const platform = createPlatformClient({ ...settings.platform, timers });
  const engines = createEngineLink({
    timers,
    orderTimeoutMs: settings.orders.timeoutMs,
    statusTimeoutMs: settings.status.timeoutMs,
  });
  const controller = createController(holder, settings, {
    timers,
    platform,
    engines,
    daemon: createDaemonLink(
      settings.vm,
      links.getClient(settings.daemon.address, settings.daemon.port),
    ),
    recorder: createEventRecorder(`controller-${settings.vm}`, timers),
    logger,
    createWriteId: randomUUID,
  });
  logger.info('started', { holder });
  return {
    async stop() {
      await controller.stop();
      links.close();
      await Promise.all([engines.close(), platform.close()]);
    },
  };
}

const controllerCommand = command({
  name: 'clementinefork-controller',
  description: 'Forms groups and gives orders to targets, beside an entry daemon.',
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
      process.stdout.write(stringify(controllerSettingsSchema.parse(EXAMPLE)));
      return;
    }
    await runDaemon(logger, () =>
      Promise.resolve(
        startController(readSettings(getSettingsFile(settings), controllerSettingsSchema)),
      ),
    );
  },
});

await runProgram(controllerCommand);
