import { isIPv6 } from 'node:net';
import { Pool } from 'undici';
import { formatProblem } from '../errors/index.ts';
import { MAX_MESSAGE_BYTES } from '../rpc/consts.ts';
import type { TimerService } from '../timers/index.ts';

/** Maximum number of connections to the platform; each pending watch occupies one. */
const MAX_CONNECTIONS = 32;
const CONNECT_TIMEOUT_MS = 2_000;

/**
 * Limit on the body of one answer; a list holds all allocations, like the largest message between
 * daemons.
 */
const MAX_ANSWER_BYTES = MAX_MESSAGE_BYTES;
const TOO_LONG_CODE = 'UND_ERR_RES_EXCEEDED_MAX_SIZE';

/** Error codes of failures that occur before any byte of the request is sent. */
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

/** Outcome of an HTTP call. */
export enum HttpResultKind {
  Answered = 'answered',
  NotSent = 'not-sent',
  /** The call was or may have been sent, and no complete response was received. */
  Lost = 'lost',
}

/** Result of an HTTP call; the body is undefined if it is not JSON. */
export type HttpResult =
  | { kind: HttpResultKind.Answered; status: number; body: unknown }
  | { kind: HttpResultKind.NotSent | HttpResultKind.Lost; problem: string };

/** Sends HTTP calls with deadlines to one address. */
export interface HttpSender {
  /** Sends a call; failures are returned and never thrown. */
  send(call: HttpCall): Promise<HttpResult>;
  close(): Promise<void>;
}

function getErrorCode(error: unknown): unknown {
  return error instanceof Error && 'code' in error ? error.code : undefined;
}

/** Parses JSON; returns undefined for other text, such as the error page of a proxy. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Creates a sender that uses a pool of connections. */
export function createHttpSender(
  address: string,
  port: number,
  timers: Pick<TimerService, 'scheduleOnce'>,
): HttpSender {
  const host = isIPv6(address) ? `[${address}]` : address;
  const pool = new Pool(`http://${host}:${port}`, {
    connections: MAX_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    // Deadlines are enforced with the timer service instead.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_ANSWER_BYTES,
  });

  const sendWithSignal = async (call: HttpCall, signal: AbortSignal): Promise<HttpResult> => {
    const response = await pool.request({
      method: call.method,
      path: call.path,
      headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
    });
    const body = parseJson(await response.body.text());
    return { kind: HttpResultKind.Answered, status: response.statusCode, body };
  };

  return {
    async send(call) {
      const deadline = new AbortController();
      const cancel = timers.scheduleOnce(call.timeoutMs, () =>
        deadline.abort(new Error(`no response within ${call.timeoutMs} ms`)),
      );
      const signals = [deadline.signal, ...(call.signal === undefined ? [] : [call.signal])];
      try {
        return await sendWithSignal(call, AbortSignal.any(signals));
      } catch (error) {
        const isNotSent = NOT_SENT_CODES.has(getErrorCode(error));
        const kind = isNotSent ? HttpResultKind.NotSent : HttpResultKind.Lost;
        const isTooLong = getErrorCode(error) === TOO_LONG_CODE;
        const tooLong = `the answer exceeds the limit of ${MAX_ANSWER_BYTES} bytes`;
        return { kind, problem: isTooLong ? tooLong : formatProblem(error) };
      } finally {
        cancel();
      }
    },
    close: () => pool.destroy(),
  };
}
