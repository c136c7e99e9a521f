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
const FIRST_HOST = 10;
/** Runs of up to this many consecutive seeds use different addresses and can run concurrently. */
const NETWORKS = 200;
const PORT_COUNT = 4;
const READY_LIMIT_MS = 20_000;

/** Starts one gateway as a separate process. */
export async function startSoakGateway(options: SoakGatewayOptions): Promise<SoakGateway> {
  const { seed, index, zone, timers, runner } = options;
  const host = `127.0.${1 + (seed % NETWORKS)}.${FIRST_HOST + index}`;
  const name = `gateway-${index}`;
  const store = { host: STORE_HOST, port: options.storePort };
  const storeProxy = await startTcpProxy(STORE_HOST, store, timers);
  const [callers = 0, ready = 0, directory = 0, peer = 0] = await findFreePorts(PORT_COUNT);
  const start = (isFirstStart: boolean): RunningProcess =>
    runner.start({
      name,
      binary: 'clementinefork-gateway',
      settings: buildGatewaySettings({
        name,
        host,
        zone,
        callersPort: callers,
        readinessPort: ready,
        directoryPort: directory,
        peerPort: peer,
        storeAddress: storeProxy.address,
        isFirstStart,
      }),
    });

  const gateway: SoakGateway = {
    name,
    callersAddress: `${host}:${callers}`,
    directoryAddress: `${host}:${directory}`,
    storeProxy,
    process: start(true),
    restart() {
      gateway.process = start(false);
    },
    waitUntilReady: () =>
      waitUntil(`readiness of ${name}`, timers, READY_LIMIT_MS, async () => {
        const answer = await request(`http://${host}:${ready}/ready`);
        await answer.body.dump();
        return answer.statusCode === 200 ? true : undefined;
      }).then(() => undefined),
  };
  return gateway;
}
