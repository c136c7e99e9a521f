import { randomUUID } from 'node:crypto';
import type { ControllerSettings } from '../../core/controller/index.ts';
import {
  controllerSettingsSchema,
  createController,
  createDaemonClient,
  createEngineControlClient,
} from '../../core/controller/index.ts';
import { createEventRecorder } from '../../core/events/index.ts';
import { createLogger } from '../../core/logs/index.ts';
import { createPlatformClient } from '../../core/object-api/index.ts';
import type { Daemon, SignalInbox } from '../../core/process/index.ts';
import { createDaemonCommand, runProgram } from '../../core/process/index.ts';
import { createPeerLinks } from '../../core/rpc/index.ts';
import { createTimerService } from '../../core/timers/index.ts';

const logger = createLogger('controller');

function startController(settings: ControllerSettings): Daemon {
  const timers = createTimerService();
  const holder = `${settings.vm}/${randomUUID()}`;
  const links = createPeerLinks();
  const platform = createPlatformClient({ ...settings.platform, timers });
  const engines = createEngineControlClient({
    timers,
    orderTimeoutMs: settings.orders.timeoutMs,
    statusTimeoutMs: settings.status.timeoutMs,
  });
  const controller = createController(holder, settings, {
    timers,
    platform,
    engines,
    daemon: createDaemonClient(
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

/** Runs the controller with the command-line arguments of the process. */
export function runController(signals: SignalInbox): Promise<void> {
  return runProgram(
    createDaemonCommand({
      name: 'clementinefork-controller',
      description:
        'Forms serving groups and sends orders to engine members. Runs on the VM of an entry daemon.',
      logger,
      signals,
      schema: controllerSettingsSchema,
      example: {
        vm: 'entry-1',
        availabilityZone: 'sofia-a',
        platform: { address: '10.0.0.100', port: 7000 },
        daemon: { address: '10.0.0.1', port: 8081 },
      },
      start: (settings) => Promise.resolve(startController(settings)),
    }),
  );
}
