import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { formatProblem } from '../errors/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { AnswerHead, TargetRequest, WireFormat } from './types.ts';

/** Receives what a target answers to one send. Exactly one of `handleEnd` and `handleError` ends it. */
export interface ExchangeListener {
  /** The connection stands and the request is about to be written. */
  handleSent(): void;
  handleHead(head: AnswerHead): void;
  handleData(chunk: Buffer): void;
  /** The answer is complete. */
  handleEnd(): void;
  handleError(wasSent: boolean, problem: string): void;
}

/** One send to a target. */
export interface Exchange {
  /** Ends the exchange and closes its connection; the listener hears nothing more. */
  cancel(): void;
  /** Stops reading until `resume`, so that the target holds the rest. */
  pause(): void;
  resume(): void;
}

/** Sends requests to targets. */
export interface TargetClient {
  send(request: TargetRequest, listener: ExchangeListener): Exchange;
  close(): Promise<void>;
}

/** Time to establish a connection to a target; a round trip takes 1 to 3 ms. */
export const CONNECT_LIMIT_MS = 120;
/** Time after which the connection attempt itself is given up and its socket is closed. */
const SOCKET_CONNECT_TIMEOUT_MS = 2_000;
/** Pools of addresses without a request for this long are closed. */
const IDLE_POOL_MS = 10_000;

interface PoolEntry {
  pool: Pool;
  usedMs: number;
}

/**
 * Creates the client for targets. Each request uses a new connection: a connection that went
 * silent, or that holds bytes of an earlier answer, then never meets a request.
 */
export function createTargetClient(
  wire: WireFormat,
  timers: Pick<TimerService, 'scheduleOnce' | 'getMonotonicMs' | 'subscribe'>,
): TargetClient {
  const pools = new Map<string, PoolEntry>();

  const getPool = (address: string): Pool => {
    const entry = pools.get(address) ?? {
      pool: new Pool(`http://${address}`, {
        connect: { timeout: SOCKET_CONNECT_TIMEOUT_MS },
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
      usedMs: 0,
    };
    entry.usedMs = timers.getMonotonicMs();
    pools.set(address, entry);
    return entry.pool;
  };

  const stopSweep = timers.subscribe(IDLE_POOL_MS, () => {
    const now = timers.getMonotonicMs();
    for (const [address, { pool, usedMs }] of pools) {
      if (now - usedMs < IDLE_POOL_MS || pool.stats.size > 0) continue;
      pools.delete(address);
      void pool.destroy();
    }
  });

  return {
    send(request, listener) {
      let isDone = false;
      let wasSent = false;
      let active: Dispatcher.DispatchController | undefined;
      const finish = (): boolean => {
        if (isDone) return false;
        isDone = true;
        cancelConnectLimit();
        return true;
      };
      const cancelConnectLimit = timers.scheduleOnce(CONNECT_LIMIT_MS, () => {
        if (!wasSent && finish()) listener.handleError(false, 'no connection in time');
      });
      getPool(request.target.address).dispatch(
        {
          method: request.request.method as Dispatcher.HttpMethod,
          path: request.request.path,
          headers: wire.buildTargetHeaders(request),
          body: request.body.length === 0 ? null : request.body,
          reset: true,
        },
        {
          onRequestStart(controller) {
            active = controller;
            if (isDone) {
              controller.abort(new Error('given up before the connection stood'));
              return;
            }
            wasSent = true;
            cancelConnectLimit();
            listener.handleSent();
          },
          onResponseStart(controller, status) {
            if (isDone) return;
            const raw = (controller as { rawHeaders?: Buffer[] }).rawHeaders ?? [];
            const fields = raw.map((field) => field.toString('latin1'));
            listener.handleHead(wire.parseAnswerHead(status, fields));
          },
          onResponseData(_controller, chunk) {
            if (!isDone) listener.handleData(chunk);
          },
          onResponseEnd() {
            if (finish()) listener.handleEnd();
          },
          onResponseError(_controller, error) {
            if (finish()) listener.handleError(wasSent, formatProblem(error));
          },
        },
      );
      return {
        cancel() {
          if (finish()) active?.abort(new Error('cancelled'));
        },
        pause: () => active?.pause(),
        resume: () => active?.resume(),
      };
    },
    async close() {
      stopSweep();
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
}
