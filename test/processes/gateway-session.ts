import { mkdirSync, mkdtempSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { join } from 'node:path';
import { request } from 'undici';
import type { TimerService } from '../../src/core/timers/index.ts';
import { createTimerService } from '../../src/core/timers/index.ts';
import { findFreePorts } from '../../src/demo/free-ports.ts';
import { createProcessRunner } from '../../src/demo/processes.ts';
import type { RunningProcess } from '../../src/demo/processes.ts';
import { waitUntil } from '../../src/demo/wait-until.ts';
import { buildGatewaySettings } from '../../src/stand-ins/soak/gateway-settings.ts';
import type { StandInStore } from '../../src/stand-ins/store/index.ts';
import { createStandInStore } from '../../src/stand-ins/store/index.ts';

const BUILD_FOLDER = 'dist';
const OUTPUT_FOLDER = 'out';
const HOST = '127.0.0.1';
/** Loopback address of gateways; tests that run at the same time use different ones. */
const DEFAULT_GATEWAY_HOST = '127.0.0.21';
const READY_LIMIT_MS = 20_000;
/** Number of ports that the gateway and the target need. */
const PORT_COUNT = 5;

/** A request as the target received it. */
export interface TargetCall {
  url: string;
  headers: IncomingHttpHeaders;
}

/** A gateway in its own process, with a stand-in store and one HTTP server as target. */
export interface GatewaySession {
  timers: TimerService;
  store: StandInStore;
  gateway: RunningProcess;
  /** Address that callers connect to. */
  callers: { host: string; port: number };
  /** Addresses of the readiness and directory servers. */
  readiness: { host: string; port: number };
  directory: { host: string; port: number };
  /** Requests that the target has received, oldest first. */
  calls: TargetCall[];
  /** Sets the time that the target takes to answer, in milliseconds. */
  setWorkMs(workMs: number): void;
  /** Asks the directory for the gateway addresses that a caller should use. */
  fetchAddresses(): Promise<string[]>;
  /** Returns the HTTP status of the readiness endpoint. */
  fetchReadiness(): Promise<number>;
  fetchMetrics(): Promise<string>;
  /** Repeats a POST request until the target answers it; throws after some seconds. */
  waitForAnswer(path: string): Promise<void>;
  /** Sends a POST request with an API key, and returns status and body. */
  sendRequest(path: string, key?: string): Promise<{ status: number; body: string }>;
  stop(): Promise<void>;
}

/** Metrics port of every gateway; it must match deploy/system.toml. */
const METRICS_PORT = 9_464;

/** Options of a session. */
export interface GatewaySessionOptions {
  /** Loopback address of the gateway. */
  host?: string;
  /** Options of Node.js for the gateway. */
  nodeOptions?: readonly string[];
  /** Descriptors that the settings state. */
  maxDescriptors?: number;
  /** Limit of the operating system on the descriptors of the gateway. */
  descriptorLimit?: number;
  /** Largest body that callers may send. */
  maxBodyBytes?: number;
  /** Time limit of the route. */
  timeoutMs?: number;
  /** Responds for the target; default: a short answer after the time set with `setWorkMs`. */
  respond?: (request: IncomingMessage, response: ServerResponse) => void;
}

const DEFAULT_MAX_BODY_BYTES = 65_536;
const DEFAULT_TIMEOUT_MS = 5_000;

function buildConfiguration(maxBodyBytes: number, timeoutMs: number): object {
  return {
    version: 3,
    routes: [
      {
        name: 'orders',
        host: 'orders.example',
        path_prefix: '/orders/',
        kind: 'non_idempotent',
        timeout_ms: timeoutMs,
        target_latency_ms: 1000,
        service: 'order-app',
        max_attempts: 1,
      },
    ],
    services: [{ name: 'order-app' }],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: maxBodyBytes,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{ name: 'grower', api_keys: ['key-1'] }],
  };
}

/** Starts the session; the gateway is ready when the promise resolves. */
export async function startGatewaySession(
  options: GatewaySessionOptions = {},
): Promise<GatewaySession> {
  const gatewayHost = options.host ?? DEFAULT_GATEWAY_HOST;
  const { maxDescriptors, descriptorLimit } = options;
  const timers = createTimerService();
  const store = await createStandInStore();
  const calls: TargetCall[] = [];
  let workMs = 0;
  const target: Server = createServer((incoming, response) => {
    calls.push({ url: incoming.url ?? '', headers: incoming.headers });
    if (options.respond !== undefined) {
      options.respond(incoming, response);
      return;
    }
    timers.scheduleOnce(workMs, () => {
      response.setHeader('X-Response-Signature', 'signed');
      response.end('booked');
    });
  });
  const ports = await findFreePorts(PORT_COUNT);
  const [callers = 0, ready = 0, directory = 0, targetPort = 0, peer = 0] = ports;
  await new Promise<void>((resolve) => {
    target.listen(targetPort, HOST, resolve);
  });
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  store.putObject(
    'config',
    'main',
    buildConfiguration(maxBodyBytes, options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
  );
  store.putObject('servers', 'i-1', {
    service: 'order-app',
    address: `${HOST}:${targetPort}`,
    zone: 'sofia-a',
    state: 'ready',
  });

  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const workFolder = mkdtempSync(join(OUTPUT_FOLDER, 'gateway-'));
  const runner = createProcessRunner({ buildFolder: BUILD_FOLDER, workFolder, timers });
  const gateway = runner.start({
    name: 'gateway-1',
    binary: 'clementinefork-gateway',
    nodeOptions: options.nodeOptions ?? [],
    ...(descriptorLimit === undefined ? {} : { maxDescriptors: descriptorLimit }),
    settings: buildGatewaySettings({
      name: 'gateway-1',
      host: gatewayHost,
      zone: 'sofia-a',
      callersPort: callers,
      readinessPort: ready,
      directoryPort: directory,
      peerPort: peer,
      storeAddress: `${HOST}:${store.port}`,
      isFirstStart: true,
      ...(maxDescriptors === undefined ? {} : { maxDescriptors }),
    }),
  });

  const fetchReadiness = async (): Promise<number> => {
    const answer = await request(`http://${gatewayHost}:${ready}/ready`);
    await answer.body.dump();
    return answer.statusCode;
  };
  await waitUntil('readiness of the gateway', timers, READY_LIMIT_MS, async () =>
    (await fetchReadiness()) === 200 ? true : undefined,
  );

  const sendRequest: GatewaySession['sendRequest'] = async (path, key = 'key-1') => {
    const answer = await request(`http://${gatewayHost}:${callers}${path}`, {
      method: 'POST',
      headers: {
        host: 'orders.example',
        authorization: `Bearer ${key}`,
        'x-attempt-id': 'attempt-1',
        'x-deadline-ms': '4000',
      },
      body: 'two pallets',
    });
    return { status: answer.statusCode, body: await answer.body.text() };
  };

  return {
    timers,
    store,
    gateway,
    callers: { host: gatewayHost, port: callers },
    readiness: { host: gatewayHost, port: ready },
    directory: { host: gatewayHost, port: directory },
    calls,
    setWorkMs: (value) => {
      workMs = value;
    },
    fetchReadiness,
    async fetchMetrics() {
      const answer = await request(`http://${gatewayHost}:${METRICS_PORT}/metrics`);
      return answer.body.text();
    },
    async fetchAddresses() {
      const query = 'name=orders.example&region=sofia&zone=sofia-a';
      const answer = await request(`http://${gatewayHost}:${directory}/resolve?${query}`);
      const { addresses } = (await answer.body.json()) as { addresses: string[] };
      return addresses;
    },
    sendRequest,
    async waitForAnswer(path) {
      await waitUntil('answer of the target', timers, READY_LIMIT_MS, async () =>
        (await sendRequest(path)).status === 200 ? true : undefined,
      );
    },
    async stop() {
      await runner.stopAll();
      target.closeAllConnections();
      target.close();
      await store.close();
    },
  };
}
