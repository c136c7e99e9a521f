import { command, option, optional, string } from 'cmd-ts';
import { createErrorReporter, ErrorOrigin } from '../../core/errors/index.ts';
import { startGateway } from '../../core/gateway/index.ts';
import { createLogger } from '../../core/logs/index.ts';
import type { SignalInbox } from '../../core/process/index.ts';
import {
  createPortWaiter,
  readSettingsAtStart,
  runDaemon,
  runProgram,
} from '../../core/process/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import type { GatewaySettings } from '../../platform/index.ts';
import {
  createDutyClient,
  createEngineControl,
  createStoreClient,
  decodeConfiguration,
  decodeTarget,
  platformWireFormat,
  SETTINGS_VARIABLE,
  startAuxiliaryServers,
} from '../../platform/index.ts';
import { readGatewaySettings } from './read-gateway-settings.ts';

const logger = createLogger('gateway');
const errorReporter = createErrorReporter(logger.error);

async function start(file: string, abortSignal: AbortSignal): ReturnType<typeof startGateway> {
  const readOwnSettings = (): GatewaySettings => readGatewaySettings(file, logger);
  const timers = createTimerService((error) => errorReporter.report(ErrorOrigin.Timer, error));
  const settings = await readSettingsAtStart(readOwnSettings, { timers, logger, abortSignal });
  logger.info('read the settings', { file, values: JSON.stringify(settings) });
  const waitForPort = createPortWaiter({ timers, logger, abortSignal });
  return startGateway(settings, {
    timers,
    logger,
    errorReporter,
    store: createStoreClient(settings.store, timers),
    control: createEngineControl(timers),
    dutyCalls: settings.dutyCalls && createDutyClient(settings.dutyCalls, timers),
    wire: platformWireFormat,
    decodeConfiguration,
    decodeTarget,
    startAuxiliaryServers: (pages) =>
      startAuxiliaryServers({
        ...pages,
        directory: settings.directory,
        readiness: settings.readiness,
        handleProblem: (problem) => logger.warn('metrics are not served', { problem }),
        metrics: { host: settings.ip, port: settings.metricsPort },
        waitForPort,
      }),
    waitForPort,
    // eslint-disable-next-line no-restricted-properties -- The only call of Math.random in the system.
    random: () => Math.random(),
    readSettings: readOwnSettings,
  });
}

/** Runs the gateway with the command-line arguments of the process. */
export function runGateway(signals: SignalInbox): Promise<void> {
  return runProgram(
    command({
      name: 'clementinefork-gateway',
      description: 'Forwards requests of callers to targets and forms serving groups from engines.',
      args: {
        settings: option({
          type: optional(string),
          long: 'settings',
          description: `settings file of the platform; default: the environment variable ${SETTINGS_VARIABLE}`,
        }),
      },
      handler: ({ settings }) =>
        runDaemon({
          logger,
          signals,
          errorReporter,
          start: (abortSignal) =>
            start(settings ?? process.env[SETTINGS_VARIABLE] ?? '', abortSignal),
        }),
    }),
  );
}
