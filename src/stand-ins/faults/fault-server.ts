import type { Socket } from 'node:net';
import fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { TimerService } from '../../core/timers/index.ts';
import { faultRequestSchema } from './types.ts';
import type { FaultListeners, FaultRequest, FaultState } from './types.ts';

const FAULTS_PATH = '/faults';
const STATUS_PATH = '/status';
const HTTP_BAD_REQUEST = 400;
const MAX_BODY_BYTES = 4 * 1_024 * 1_024;

/** Address, timers and fault listeners of a stand-in server. */
export interface FaultServerOptions {
  address: string;
  /** 0 selects a free port. */
  port: number;
  timers: TimerService;
  listeners?: FaultListeners;
}

/** HTTP server of a stand-in with fault injection through `POST /faults`. */
export interface FaultServer {
  app: FastifyInstance;
  faults: Readonly<FaultState>;
  applyFaults(faultRequest: FaultRequest): void;
  /** Whether the `silent` fault applies to the connection. */
  isSilenced(socket: Socket): boolean;
  /** Resolves as soon as the stand-in is not frozen. */
  waitWhileFrozen(): Promise<void>;
  /**
   * Returns whether the response may be sent. If `loseAnswers` is above 0, it decrements it, closes
   * the connection and returns false; `/status` is exempt.
   */
  allowResponse(request: FastifyRequest): boolean;
  /** Returns the bound port. */
  start(): Promise<number>;
  stop(): Promise<void>;
}

function waitForever(): Promise<never> {
  return new Promise(() => {});
}

function getPath(request: FastifyRequest): string {
  return request.url.split('?')[0] ?? request.url;
}

/** Creates the HTTP server of a stand-in; the caller adds its routes to `app`. */
export function createFaultServer(options: FaultServerOptions): FaultServer {
  const { timers, listeners = {} } = options;
  const app = fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
  const faults: FaultState = {
    slowMs: 0,
    down: false,
    frozen: false,
    loseAnswers: 0,
    ignoreFencing: false,
  };
  const sockets = new Set<Socket>();
  const silencedSockets = new WeakSet<Socket>();
  let waiters: (() => void)[] = [];
  let boundPort = options.port;

  app.server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    // Without a listener, the error of a connection that a fault destroys would end the process.
    socket.on('error', () => {});
  });

  const waitForUnfreeze = (): Promise<void> =>
    new Promise((resolve) => {
      waiters.push(resolve);
    });

  const waitWhileFrozen = async (): Promise<void> => {
    while (faults.frozen) await waitForUnfreeze();
  };

  const setFrozen = (frozen: boolean): void => {
    faults.frozen = frozen;
    if (frozen) return;
    const resumed = waiters;
    waiters = [];
    resumed.forEach((resolve) => resolve());
  };

  const setDown = (down: boolean): void => {
    if (down === faults.down) return;
    faults.down = down;
    if (down) {
      app.server.close();
      sockets.forEach((socket) => socket.destroy());
      return;
    }
    listeners.handleRestart?.();
    app.server.listen(boundPort, options.address);
  };

  const applyFaults = (faultRequest: FaultRequest): void => {
    const { slowMs, forMs } = faultRequest;
    if (slowMs !== undefined) faults.slowMs = slowMs;
    if (faultRequest.loseAnswers !== undefined) faults.loseAnswers = faultRequest.loseAnswers;
    if (faultRequest.ignoreFencing !== undefined) faults.ignoreFencing = faultRequest.ignoreFencing;
    if (faultRequest.silent === true) sockets.forEach((socket) => silencedSockets.add(socket));
    if (faultRequest.cold === true) listeners.handleCold?.();
    if (faultRequest.frozen !== undefined) setFrozen(faultRequest.frozen);
    if (faultRequest.down !== undefined) setDown(faultRequest.down);
    if (forMs === undefined) return;
    timers.scheduleOnce(forMs, () => {
      if (slowMs !== undefined) faults.slowMs = 0;
      if (faultRequest.ignoreFencing !== undefined) faults.ignoreFencing = false;
      if (faultRequest.frozen !== undefined) setFrozen(false);
      if (faultRequest.down !== undefined) setDown(false);
    });
  };

  const allowResponse = (request: FastifyRequest): boolean => {
    if (faults.loseAnswers === 0 || getPath(request) === STATUS_PATH) return true;
    faults.loseAnswers--;
    request.raw.socket.destroy();
    return false;
  };

  app.addHook('onRequest', async (request) => {
    if (getPath(request) === FAULTS_PATH) return;
    if (silencedSockets.has(request.raw.socket)) await waitForever();
    await waitWhileFrozen();
    if (faults.slowMs > 0) await timers.waitFor(faults.slowMs);
  });

  app.addHook('onSend', async (request, _reply, payload) => {
    if (getPath(request) === FAULTS_PATH) return payload;
    await waitWhileFrozen();
    if (silencedSockets.has(request.raw.socket) || !allowResponse(request)) await waitForever();
    return payload;
  });

  app.post(FAULTS_PATH, (request, reply: FastifyReply) => {
    const faultRequest = faultRequestSchema.safeParse(request.body);
    if (!faultRequest.success) {
      return reply
        .status(HTTP_BAD_REQUEST)
        .send({ error: 'invalid', problem: faultRequest.error.message });
    }
    // Responds first, because the faults may close this connection.
    reply.raw.on('finish', () => applyFaults(faultRequest.data));
    return reply.send({ faults });
  });

  return {
    app,
    faults,
    applyFaults,
    isSilenced: (socket) => silencedSockets.has(socket),
    waitWhileFrozen,
    allowResponse,
    async start() {
      await app.listen({ host: options.address, port: options.port });
      const bound = app.server.address();
      if (bound !== null && typeof bound === 'object') boundPort = bound.port;
      return boundPort;
    },
    async stop() {
      setFrozen(false);
      sockets.forEach((socket) => socket.destroy());
      await app.close();
    },
  };
}
