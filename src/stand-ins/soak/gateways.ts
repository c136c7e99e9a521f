import { request } from 'undici';
import type { TimerService } from '../../core/timers/index.ts';
import { findFreePorts } from '../../demo/free-ports.ts';
import type { ProcessRunner, RunningProcess } from '../../demo/processes.ts';
import { waitUntil } from '../../demo/wait-until.ts';
import { buildGatewaySettings } from './gateway-settings.ts';
import type { TcpProxy } from './tcp-proxy.ts';
import { startTcpProxy } from './tcp-proxy.ts';

/** One gateway of a soak test: its addresses, its process and its proxy to the store. */
export interface SoakGateway {
  name: string;
  callersAddress: string;
  directoryAddress: string;
  storeProxy: TcpProxy;
  /** The current process; each restart replaces it. */
  process: RunningProcess;
  /** Starts a new process; the previous one must have ended. */
  restart(): void;
  waitUntilReady(): Promise<void>;
}

/** Options of a gateway of a soak test. */
export interface SoakGatewayOptions {
  seed: number;
  index: number;
  zone: string;
  storePort: number;
  timers: TimerService;
  runner: ProcessRunner;
}

const STORE_HOST = '127.0.0.1';
/** Last byte of the first gateway's address. Each has its own, as all use the same metrics port. */
const FIRST_HOST_NUMBER = 10;
/** Runs of up to this many consecutive seeds use different addresses and can run concurrently. */
const NETWORK_COUNT = 200;
const PORT_COUNT = 4;
const READY_TIMEOUT_MS = 20_000;

/** Starts one gateway as a separate process. */
export async function startSoakGateway(options: SoakGatewayOptions): Promise<SoakGateway> {
  const { seed, index, zone, timers, runner } = options;
  const host = `127.0.${1 + (seed % NETWORK_COUNT)}.${FIRST_HOST_NUMBER + index}`;
  const name = `gateway-${index}`;
  const store = { host: STORE_HOST, port: options.storePort };
  const storeProxy = await startTcpProxy(STORE_HOST, store, timers);
  const [callersPort = 0, readinessPort = 0, directoryPort = 0, peerPort = 0] =
    await findFreePorts(PORT_COUNT);
  const start = (isFirstStart: boolean): RunningProcess =>
    runner.start({
      name,
      binary: 'clementinefork-gateway',
      settings: buildGatewaySettings({
        name,
        host,
        zone,
        callersPort,
        readinessPort,
        directoryPort,
        peerPort,
        storeAddress: storeProxy.address,
        isFirstStart,
      }),
    });

  const gateway: SoakGateway = {
    name,
    callersAddress: `${host}:${callersPort}`,
    directoryAddress: `${host}:${directoryPort}`,
    storeProxy,
    process: start(true),
    restart() {
      gateway.process = start(false);
    },
    waitUntilReady: () =>
      waitUntil(`readiness of ${name}`, timers, READY_TIMEOUT_MS, async () => {
        const response = await request(`http://${host}:${readinessPort}/ready`);
        await response.body.dump();
        return response.statusCode === 200 ? true : undefined;
      }).then(() => undefined),
  };
  return gateway;
}
