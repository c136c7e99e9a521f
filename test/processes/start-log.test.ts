import { mkdirSync, mkdtempSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../../src/core/timers/index.ts';
import { findFreePorts } from '../../src/demo/free-ports.ts';
import { createProcessRunner } from '../../src/demo/processes.ts';
import { waitUntil } from '../../src/demo/wait-until.ts';
import { buildGatewaySettings } from '../../src/stand-ins/soak/gateway-settings.ts';

const OUTPUT_FOLDER = 'out';
/** Loopback address that only this test uses, as all gateways use the same metrics port. */
const HOST = '127.0.0.24';
const LIMIT_MS = 20_000;

interface LogLine {
  message: string;
  context: Record<string, unknown>;
}

describe('the log of a gateway process without a store', () => {
  // Guards against starts and ends of which the logs do not tell when and why they happened.
  it('tells the steps of its start, what it waits for and why it ends', async () => {
    const timers = createTimerService();
    const [callers = 0, readiness = 0, directory = 0, peer = 0] = await findFreePorts(4);
    mkdirSync(OUTPUT_FOLDER, { recursive: true });
    const workFolder = mkdtempSync(join(OUTPUT_FOLDER, 'start-log-'));
    const runner = createProcessRunner({ buildFolder: 'dist', workFolder, timers });
    const gateway = runner.start({
      name: 'gateway-1',
      binary: 'clementinefork-gateway',
      settings: buildGatewaySettings({
        name: 'gateway-1',
        host: HOST,
        zone: 'sofia-a',
        callersPort: callers,
        readinessPort: readiness,
        directoryPort: directory,
        peerPort: peer,
        storeAddress: '127.0.0.1:9',
        isFirstStart: true,
      }),
    });
    const readLines = (): LogLine[] =>
      readFileSync(gateway.logFile, 'utf8')
        .split('\n')
        .filter((line) => line.startsWith('{'))
        .map((line) => JSON.parse(line) as LogLine);
    const find = (message: string): LogLine | undefined =>
      readLines().find((line) => line.message === `[gateway] ${message}`);
    await waitUntil('line of what is missing', timers, LIMIT_MS, () =>
      Promise.resolve(find('not ready yet')),
    ).finally(() => runner.stopAll());

    expect(find('starting')?.context).toEqual(
      expect.subset({ pid: gateway.pid, signalsHandledAfterMs: expect.a(Number) }),
    );
    expect(find('read the settings')?.context.values).toEqual(expect.includes(HOST));
    expect(find('the start is complete')?.context).toEqual(
      expect.subset({ afterMs: expect.a(Number) }),
    );
    expect(find('not ready yet')?.context).toEqual(
      expect.subset({ missing: 'configuration targets gateways' }),
    );
    expect(find('stopping')?.context).toEqual(expect.subset({ signal: 'SIGTERM' }));
    expect(find('stopped')).not.toEqual(undefined);
  });
});
