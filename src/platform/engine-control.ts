import { Client } from 'undici';
import type { Target } from '../core/fleet/index.ts';
import { OrderResult } from '../core/formation/types.ts';
import type { EngineControl, EngineOrder } from '../core/formation/types.ts';
import { formatProblem } from '../core/errors/index.ts';
import { createBoundedConnection } from '../core/http/bounded-connection.ts';
import { isHttpStatus } from '../core/http/is-http-status.ts';
import type { TimerService } from '../core/timers/index.ts';
import { engineStateSchema } from './decode-target.ts';

/** Timeout of an order; an engine responds within a round trip of a few ms. */
const ORDER_TIMEOUT_MS = 600;

/** Timeout of establishing a connection; a round trip takes 1 to 3 ms. */
const CONNECT_TIMEOUT_MS = 150;

/**
 * Limit on one answer. A report of an engine has a few hundred bytes; one call to each engine may be
 * under way at once.
 */
const MAX_ANSWER_BYTES = 64 * 1024;

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_PRECONDITION_FAILED = 412;

/** Values of `close_mode`: abort the head's requests, or wait until they have finished. */
const CLOSE_AT_ONCE = 'abort';
const CLOSE_AFTER_WORK = 'queue';

function encodeOrder(order: EngineOrder): object {
  switch (order.kind) {
    case 'stage':
      return { operation: 'stage', model: order.model };
    case 'join': {
      const { group, epoch, model, members } = order;
      return { operation: 'join', group, epoch, model, members };
    }
    case 'close':
      return {
        operation: 'close',
        group: order.group,
        epoch: order.epoch,
        close_mode: order.isGraceful ? CLOSE_AFTER_WORK : CLOSE_AT_ONCE,
      };
    default:
      return { operation: order.kind, group: order.group, epoch: order.epoch };
  }
}

function toOrderResult(status: number): OrderResult {
  if (!isHttpStatus(status)) return OrderResult.Unknown;
  if (status === HTTP_OK || status === HTTP_ACCEPTED) return OrderResult.Accepted;
  if (status === HTTP_PRECONDITION_FAILED) return OrderResult.Outdated;
  return OrderResult.Refused;
}

const reportSchema = engineStateSchema.pick({ group: true, staged: true });

interface CallResult {
  /** HTTP status; undefined if no response arrived. */
  status: number | undefined;
  text: string;
  /** Whether the connection was established, so that the engine may have received the call. */
  wasConnected: boolean;
  /** Whether the engine's host refused the connection. */
  isConnectionRefused: boolean;
  problem: string;
}

/** Creates the client of the engines' control API. Each call opens a separate connection. */
export function createEngineControl(timers: Pick<TimerService, 'scheduleOnce'>): EngineControl {
  const sendCall = async (
    target: Target,
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    timeoutMs: number,
  ): Promise<CallResult> => {
    const connection = createBoundedConnection({ maxAnswerBytes: MAX_ANSWER_BYTES });
    const client = new Client(`http://${target.address}`, {
      connect: connection.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    let wasConnected = false;
    client.on('connect', () => {
      wasConnected = true;
    });
    // An abort signal has no effect until the connection is established; destroy() always does.
    const cancelDeadline = timers.scheduleOnce(timeoutMs, () => {
      // A partition may hold the call back; only a reset keeps it from being delivered when it ends.
      connection.abort();
      void client.destroy(new Error('no response in time'));
    });
    const cancelConnectTimeout = timers.scheduleOnce(CONNECT_TIMEOUT_MS, () => {
      if (!wasConnected) void client.destroy(new Error('no connection in time'));
    });
    const headers: Record<string, string> = { 'x-expect-instance': target.id };
    if (body !== undefined) headers['content-type'] = 'application/json';
    try {
      const response = await client.request({
        method,
        path,
        headers,
        body: body === undefined ? null : JSON.stringify(body),
        reset: true,
      });
      const text = await response.body.text();
      return {
        status: response.statusCode,
        text,
        wasConnected,
        isConnectionRefused: false,
        problem: '',
      };
    } catch (error) {
      const isConnectionRefused = (error as { code?: unknown }).code === 'ECONNREFUSED';
      return {
        status: undefined,
        text: '',
        wasConnected,
        isConnectionRefused,
        problem: formatProblem(error),
      };
    } finally {
      cancelDeadline();
      cancelConnectTimeout();
      void client.destroy();
    }
  };

  return {
    async sendOrder(target, order) {
      const body = encodeOrder(order);
      const result = await sendCall(target, 'POST', '/order', body, ORDER_TIMEOUT_MS);
      if (result.status !== undefined) return toOrderResult(result.status);
      if (result.isConnectionRefused) return OrderResult.NotListening;
      return result.wasConnected ? OrderResult.Unknown : OrderResult.NotSent;
    },
    async queryState(target, timeoutMs) {
      const result = await sendCall(target, 'GET', '/report', undefined, timeoutMs);
      if (result.status !== HTTP_OK) return undefined;
      const parsed = reportSchema.safeParse(parseJson(result.text));
      if (!parsed.success) return undefined;
      return {
        group: parsed.data.group ?? undefined,
        stagedModels: parsed.data.staged ?? [],
      };
    },
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Undefined fails the validation by the schema that follows.
    return undefined;
  }
}
