import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { TimerService } from '../../core/timers/index.ts';
import { findFreePorts } from '../../demo/free-ports.ts';
import type { ProcessRunner, RunningProcess } from '../../demo/processes.ts';
import { waitUntil } from '../../demo/wait-until.ts';
import { buildGatewaySettings, LIMITS } from './gateway-settings.ts';
import { watchMemory } from './memory-limit.ts';
import type { Observations } from './observations.ts';
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
  /** Starts a new process if the previous one has ended. */
  restart(): void;
  waitUntilReady(): Promise<void>;
  /** Lets a process that ends by itself stay ended. */
  stopRestarting(): void;
}

/** Options of a gateway of a soak test. */
export interface SoakGatewayOptions {
  seed: number;
  index: number;
  zone: string;
  storePort: number;
  /** `host:port` of the calls of duties; undefined if there are none. */
  dutyAddress?: string | undefined;
  timers: TimerService;
  runner: ProcessRunner;
  observations: Pick<Observations, 'unplannedEnds' | 'peakMemoryMb'>;
}

const STORE_HOST = '127.0.0.1';
/** Last byte of the first gateway's address. Each has its own, as all use the same metrics port. */
const FIRST_HOST_NUMBER = 10;
/** Runs of up to this many consecutive seeds use different addresses and can run concurrently. */
const NETWORK_COUNT = 200;
const PORT_COUNT = 4;
const READY_TIMEOUT_MS = 20_000;

/** Options of deploy/system.toml. */
export const NODE_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=2'];
/** Delay before a process that ended is restarted, as on the platform. */
export const RESTART_DELAY_MS = 300;
/** How a process may end after a signal has told it to; SIGTERM only before the program runs. */
const PLANNED_ENDS: ReadonlySet<number | string> = new Set([0, 'SIGTERM', 'SIGKILL']);

function readLastLine(file: string): string {
  return readFileSync(file, 'utf8').trimEnd().split('\n').at(-1) ?? '';
}

/** Starts one gateway as a separate process. */
export async function startSoakGateway(options: SoakGatewayOptions): Promise<SoakGateway> {
  const { seed, index, zone, timers, runner } = options;
  const host = `127.0.${1 + (seed % NETWORK_COUNT)}.${FIRST_HOST_NUMBER + index}`;
  const name = `gateway-${index}`;
  const store = { host: STORE_HOST, port: options.storePort };
  const storeProxy = await startTcpProxy(STORE_HOST, store, timers);
  const [callersPort = 0, readinessPort = 0, directoryPort = 0, peerPort = 0] =
    await findFreePorts(PORT_COUNT);
  let isOver = false;
  const { unplannedEnds, peakMemoryMb } = options.observations;
  const start = (isFirstStart: boolean): RunningProcess => {
    const startedMs = timers.getMonotonicMs();
    const started = runner.start({
      name,
      binary: 'clementinefork-gateway',
      nodeOptions: NODE_OPTIONS,
      maxDescriptors: LIMITS.max_fds,
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
        dutyAddress: options.dutyAddress,
      }),
    });
    const memory = watchMemory({
      timers,
      process: started,
      limitMb: LIMITS.memory_mb,
      handleReading: (memoryMb) =>
        peakMemoryMb.set(name, Math.max(peakMemoryMb.get(name) ?? 0, memoryMb)),
      kill: () => process.kill(started.pid, 'SIGKILL'),
    });
    void started.exited.then((end) => {
      memory.stop();
      const isPlanned = started.wasToldToEnd() && PLANNED_ENDS.has(end) && !memory.wasKilled();
      if (isPlanned || isOver) return;
      const atMs = timers.getMonotonicMs();
      unplannedEnds.push({
        gateway: name,
        end,
        isOverMemory: memory.wasKilled(),
        memoryMb: memory.getLastMb(),
        atMs,
        ranMs: atMs - startedMs,
        lastLine: readLastLine(started.logFile),
      });
      // The fault that told the process to end starts it again.
      if (started.wasToldToEnd()) return;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- Set when a process ends.
      timers.scheduleOnce(RESTART_DELAY_MS, () => gateway.restart());
    });
    return started;
  };

  const gateway: SoakGateway = {
    name,
    callersAddress: `${host}:${callersPort}`,
    directoryAddress: `${host}:${directoryPort}`,
    storeProxy,
    process: start(true),
    restart() {
      // A process that ended by itself and was killed then is started once only.
      if (isOver || runner.isRunning(gateway.process)) return;
      gateway.process = start(false);
    },
    waitUntilReady: () =>
      waitUntil(`readiness of ${name}`, timers, READY_TIMEOUT_MS, async () => {
        const response = await request(`http://${host}:${readinessPort}/ready`);
        await response.body.dump();
        return response.statusCode === 200 ? true : undefined;
      }).then(() => undefined),
    stopRestarting() {
      isOver = true;
    },
  };
  return gateway;
}
