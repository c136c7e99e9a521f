import { isIPv6 } from 'node:net';
import { Pool } from 'undici';
import { formatProblem } from '../errors/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Connections to the platform; each waiting watch takes one. */
const MAX_CONNECTIONS = 32;
const CONNECT_TIMEOUT_MS = 2_000;

/** Failures that happen before any byte of the request is sent. */
const NOT_SENT_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One HTTP call to the platform. */
export interface HttpCall {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  body?: unknown;
  timeoutMs: number;
  signal?: AbortSignal | undefined;
}

/** How an HTTP call ended. */
export enum HttpResultKind {
  Answered = 'answered',
  NotSent = 'not-sent',
  /** The call was sent, or may have been, and no complete answer came. */
  Lost = 'lost',
}

export type HttpResult =
  | { kind: HttpResultKind.Answered; status: number; body: unknown }
  | { kind: HttpResultKind.NotSent | HttpResultKind.Lost; problem: string };

/** Sends calls to one address with deadlines. */
export interface HttpSender {
  send(call: HttpCall): Promise<HttpResult>;
  close(): Promise<void>;
}

function getErrorCode(error: unknown): unknown {
  return error instanceof Error && 'code' in error ? error.code : undefined;
}

/** Returns undefined for a text that is not JSON, such as the error page of a gateway. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Creates a sender over a pool of connections. */
export function createHttpSender(
  address: string,
  port: number,
  timers: Pick<TimerService, 'scheduleOnce'>,
): HttpSender {
  const host = isIPv6(address) ? `[${address}]` : address;
  const pool = new Pool(`http://${host}:${port}`, {
    connections: MAX_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    // Deadlines come from the timer service.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const sendWithin = async (call: HttpCall, signal: AbortSignal): Promise<HttpResult> => {
    const answer = await pool.request({
      method: call.method,
      path: call.path,
      headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
    });
    const body = parseJson(await answer.body.text());
    return { kind: HttpResultKind.Answered, status: answer.statusCode, body };
  };

  return {
    async send(call) {
      const deadline = new AbortController();
      const cancel = timers.scheduleOnce(call.timeoutMs, () =>
        deadline.abort(new Error(`no answer within ${call.timeoutMs} ms`)),
      );
      const signals = [deadline.signal, ...(call.signal === undefined ? [] : [call.signal])];
      try {
        return await sendWithin(call, AbortSignal.any(signals));
      } catch (error) {
        const isNotSent = NOT_SENT_CODES.has(getErrorCode(error));
        const kind = isNotSent ? HttpResultKind.NotSent : HttpResultKind.Lost;
        return { kind, problem: formatProblem(error) };
      } finally {
        cancel();
      }
    },
    close: () => pool.destroy(),
  };
}
