import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import type { Observations } from './observations.ts';
import type { TcpProxy } from './tcp-proxy.ts';
import { startTcpProxy } from './tcp-proxy.ts';

/** Dependencies of the targets of a soak test. */
export interface TargetEnvironment {
  host: string;
  timers: TimerService;
  store: StandInStore;
  observations: Observations;
  /** Share of the engines that limit their requests. */
  limitedShare: number;
  /** Returns the delay of the next order to an engine in ms; undefined for a prompt one. */
  drawOrderDelayMs(): number | undefined;
  random(): number;
}

/** One simulated target: an engine, or a target of a service without engines. */
export interface SoakTarget {
  /** Key of the entry in the store; a replacement gets a new one. */
  id: string;
  /** Proxy in front of the target, which injects network faults. */
  proxy: TcpProxy;
  /** Ends the target without notice; its store entry is removed as after missed heartbeats. */
  crash(): Promise<void>;
  /** Announces that it drains, serves for `DRAIN_MS`, and ends. */
  leave(): Promise<void>;
  close(): Promise<void>;
}

const PLAIN_WORK_MS = 30;
/** Store entries of dead targets expire after three missed heartbeats. */
export const ENTRY_EXPIRY_MS = 1_500;
const DRAIN_MS = 3_000;
export const HTTP_OK = 200;
export const HTTP_MISDIRECTED = 421;

/** JSON body of responses and events; callers match it to their attempts. */
export interface ResponseBody {
  attemptId: string;
  version: number | undefined;
  number: number | undefined;
  last: number | undefined;
}

/** Reads the whole body of a request as text. */
export async function readBody(incoming: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  return Buffer.concat(parts).toString();
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Returns the attempt id from the request headers, or an empty string. */
export function getAttemptId(incoming: IncomingMessage): string {
  return String(incoming.headers['x-attempt-id'] ?? '');
}

/** Responds with 421 and returns false if the request expects another instance of the target. */
export function checkExpectedInstance(
  id: string,
  incoming: IncomingMessage,
  response: ServerResponse,
): boolean {
  const expected = incoming.headers['x-expect-instance'];
  if (expected === undefined || expected === id) return true;
  response.writeHead(HTTP_MISDIRECTED, { 'X-Not-Executed': '1', 'X-Instance-Id': id });
  response.end();
  return false;
}

/** Starts the HTTP server of a target on a free port, and a fault-injecting proxy for it. */
export async function startProxiedServer(
  environment: TargetEnvironment,
  handle: (incoming: IncomingMessage, response: ServerResponse) => Promise<void>,
): Promise<{ server: Server; proxy: TcpProxy }> {
  const server = createServer((incoming, response) => {
    handle(incoming, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, environment.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const proxy = await startTcpProxy(
    environment.host,
    { host: environment.host, port },
    environment.timers,
  );
  return { server, proxy };
}

/** Builds the methods that end a target. */
export function buildLifecycle(
  environment: TargetEnvironment,
  id: string,
  server: Server,
  proxy: TcpProxy,
  publish: (state: 'ready' | 'draining') => void,
): Pick<SoakTarget, 'crash' | 'leave' | 'close'> {
  const close = async (): Promise<void> => {
    server.closeAllConnections();
    server.close();
    await proxy.close();
  };
  return {
    close,
    async crash() {
      await close();
      await environment.timers.waitFor(ENTRY_EXPIRY_MS);
      environment.store.removeObject('servers', id);
    },
    async leave() {
      publish('draining');
      await environment.timers.waitFor(DRAIN_MS);
      environment.store.removeObject('servers', id);
      await close();
    },
  };
}

/** Starts a target without an engine. Its responses contain the given configuration version. */
export async function startPlainTarget(
  environment: TargetEnvironment,
  id: string,
  service: string,
  zone: string,
  version: number,
): Promise<SoakTarget> {
  const { server, proxy } = await startProxiedServer(environment, async (incoming, response) => {
    if (!checkExpectedInstance(id, incoming, response)) return;
    await readBody(incoming);
    const attemptId = getAttemptId(incoming);
    const atMs = environment.timers.getMonotonicMs();
    environment.observations.runs.push({
      attemptId,
      targetId: id,
      afterEvent: 0,
      isGroupComplete: true,
      atMs,
    });
    await environment.timers.waitFor(PLAIN_WORK_MS * (0.5 + environment.random()));
    response.setHeader('X-Response-Signature', 'signed');
    response.setHeader('X-Attempt-Id', attemptId);
    const body: ResponseBody = { attemptId, version, number: undefined, last: undefined };
    sendJson(response, HTTP_OK, body);
  });
  const publish = (state: 'ready' | 'draining'): void =>
    environment.store.putObject('servers', id, { service, address: proxy.address, zone, state });
  publish('ready');
  return { id, proxy, ...buildLifecycle(environment, id, server, proxy, publish) };
}
