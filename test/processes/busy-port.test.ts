import { createSocket } from 'node:dgram';
import { mkdirSync, mkdtempSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { createTimerService } from '../../src/core/timers/index.ts';
import { findFreePorts } from '../../src/demo/free-ports.ts';
import { createProcessRunner } from '../../src/demo/processes.ts';
import { waitUntil } from '../../src/demo/wait-until.ts';
import { buildGatewaySettings } from '../../src/stand-ins/soak/gateway-settings.ts';
import { createStandInStore } from '../../src/stand-ins/store/index.ts';

const OUTPUT_FOLDER = 'out';
/** Loopback address that only this test uses, as all gateways use the same metrics port. */
const HOST = '127.0.0.22';
const BUSY_MS = 2_500;
const STARTED_LIMIT_MS = 15_000;

interface Ports {
  callers: number;
  readiness: number;
  directory: number;
  peer: number;
}

type Release = () => void;

function takeTcpPort(port: number): Promise<Release> {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen(port, HOST, () => resolve(() => server.close()));
  });
}

function takeUdpPort(port: number): Promise<Release> {
  const socket = createSocket('udp4');
  return new Promise((resolve) => {
    socket.bind(port, HOST, () => resolve(() => socket.close()));
  });
}

const cases: { name: string; takePort(ports: Ports): Promise<Release> }[] = [
  { name: 'callers', takePort: ({ callers }) => takeTcpPort(callers) },
  { name: 'readiness', takePort: ({ readiness }) => takeTcpPort(readiness) },
  { name: 'the directory', takePort: ({ directory }) => takeTcpPort(directory) },
  { name: 'other gateways', takePort: ({ peer }) => takeUdpPort(peer) },
];

describe('a gateway process whose port is in use when it starts', () => {
  for (const { name, takePort } of cases) {
    // Guards against a gateway that ends by itself beside a predecessor that has not ended yet.
    it(`waits for the port of ${name}`, async () => {
      const timers = createTimerService();
      const store = await createStandInStore();
      const [callers = 0, readiness = 0, directory = 0, peer = 0] = await findFreePorts(4);
      const releasePort = await takePort({ callers, readiness, directory, peer });
      mkdirSync(OUTPUT_FOLDER, { recursive: true });
      const workFolder = mkdtempSync(join(OUTPUT_FOLDER, 'busy-port-'));
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
          storeAddress: `127.0.0.1:${store.port}`,
          isFirstStart: true,
        }),
      });
      await timers.waitFor(BUSY_MS);
      const isRunning = runner.isRunning(gateway);
      releasePort();
      const hasStarted =
        isRunning &&
        (await waitUntil('answer of the gateway', timers, STARTED_LIMIT_MS, async () => {
          const answer = await request(`http://${HOST}:${callers}/`);
          await answer.body.dump();
          return answer.statusCode === 503 ? true : undefined;
        }));
      await runner.stopAll();
      await store.close();
      expect(hasStarted).toEqual(true);
    });
  }
});
