import { Agent, request } from 'undici';
import { createError, ErrorKind } from '../errors/index.ts';
import { createStatusClient } from '../probing/index.ts';
import { formatOrigin } from '../origin/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { EngineControlClient } from './types.ts';
import { OrderAnswer } from './types.ts';

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

/** Options of `createEngineControlClient`: the deadlines of the calls to engines. */
export interface EngineControlClientOptions {
  timers: TimerService;
  orderTimeoutMs: number;
  statusTimeoutMs: number;
}

/** Engine control client over HTTP, which owns its connections. */
export interface HttpEngineControlClient extends EngineControlClient {
  close(): Promise<void>;
}

/** Creates an engine control client that sends orders and status queries over HTTP. */
export function createEngineControlClient(
  options: EngineControlClientOptions,
): HttpEngineControlClient {
  const { timers, orderTimeoutMs, statusTimeoutMs } = options;
  const dispatcher = new Agent({ connections: 1, pipelining: 1 });
  const statusClient = createStatusClient(timers, statusTimeoutMs);
  return {
    async sendOrder(target, order) {
      const abort = new AbortController();
      const cancel = timers.scheduleOnce(orderTimeoutMs, () => abort.abort());
      try {
        const { statusCode, body } = await request(`${formatOrigin(target)}/orders`, {
          method: 'POST',
          dispatcher,
          signal: abort.signal,
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(order),
        });
        await body.dump();
        if (statusCode === HTTP_OK) return OrderAnswer.Accepted;
        if (statusCode === HTTP_CONFLICT) return OrderAnswer.StaleEpoch;
        const problem = `the engine answered with HTTP status ${statusCode}.`;
        throw createError(ErrorKind.OrderRefused, { vm: target.vm, epoch: order.epoch, problem });
      } finally {
        cancel();
      }
    },
    fetchStatus: statusClient.queryStatus,
    async close() {
      await Promise.all([dispatcher.destroy(), statusClient.close()]);
    },
  };
}
