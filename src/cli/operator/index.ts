import { randomUUID } from 'node:crypto';
import type { ReadConfiguration } from '../../core/operator/index.ts';
import { runOperator } from '../../core/operator/index.ts';
import { StoreKind } from '../../core/store/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import {
  CONFIGURATION_NAME,
  createStoreClient,
  decodeConfiguration,
  parseSocket,
} from '../../platform/index.ts';

const timers = createTimerService();

async function fetchInForce(storeAddress: string): Promise<ReadConfiguration> {
  const store = createStoreClient(parseSocket(storeAddress), timers);
  try {
    const result = await store.fetchObject(StoreKind.Configuration, CONFIGURATION_NAME);
    return result.kind === 'ok' ? decodeConfiguration(result.value.spec) : result;
  } finally {
    await store.close();
  }
}

process.exitCode = await runOperator(
  {
    writeOut: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
    timers,
    configurationReader: { decode: decodeConfiguration, fetchInForce },
    createWriteId: randomUUID,
    env: process.env,
  },
  process.argv.slice(2),
);
