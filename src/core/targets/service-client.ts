import type { Dispatcher } from 'undici';
import { Agent, buildConnector, Client } from 'undici';
import { formatProblem } from '../errors/index.ts';
import { isHttpStatus } from '../http/is-http-status.ts';
import type { TimerService } from '../timers/index.ts';
import { isConnectError } from './connect-errors.ts';
import { CONNECT_DEADLINE_MS, MAX_SERVICE_RESPONSE_BYTES } from './consts.ts';
import { formatOrigin } from '../origin/index.ts';
import type {
  CallHeader,
  ServiceResponse,
  ServiceCall,
  ServiceClient,
  ServiceResult,
  TargetEndpoint,
} from './types.ts';
import { TargetFailureKind } from './types.ts';

/** A dispatcher for one call, with the state of its connection. */
interface Connection {
  dispatcher: Dispatcher;
  /** Tells whether any byte of the call may have been sent, given the error of the call. */
  wasEstablished(error: unknown): boolean;
  close(): Promise<void>;
}

/** Timeouts are handled by the timer service, so those of undici are disabled. */
const NO_TIMEOUTS = { headersTimeout: 0, bodyTimeout: 0 };

/** Headers that apply to a single connection and are not forwarded. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function buildHeaders(call: ServiceCall): Record<string, string> {
  const kept = call.headers.filter(({ name }) => !CONNECTION_HEADERS.has(name.toLowerCase()));
  const headers = Object.fromEntries(kept.map(({ name, value }) => [name.toLowerCase(), value]));
  return { ...headers, 'x-request-id': call.requestId };
}

function parseHeaders(headers: Dispatcher.ResponseData['headers']): CallHeader[] {
  return Object.entries(headers)
    .filter(([name]) => !CONNECTION_HEADERS.has(name))
    .flatMap(([name, value]) => [value ?? []].flat().map((text) => ({ name, value: text })));
}

async function readBody(body: Dispatcher.ResponseData['body']): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Uint8Array).byteLength;
    if (bytes > MAX_SERVICE_RESPONSE_BYTES) {
      throw new Error(`the response body is larger than ${MAX_SERVICE_RESPONSE_BYTES} bytes`);
    }
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks);
}

/**
 * Opens a connection for a single call. The connector records whether the connection was
 * established, and rejects one that is established after the call has been abandoned.
 */
function openSingleUseConnection(endpoint: TargetEndpoint): Connection {
  const connect = buildConnector({ timeout: CONNECT_DEADLINE_MS });
  let isEstablished = false;
  let isClosed = false;
  const client = new Client(formatOrigin(endpoint), {
    ...NO_TIMEOUTS,
    connect: (options, callback) => {
      if (isClosed || isEstablished) {
        callback(new Error('the connection of this call is closed'), null);
        return;
      }
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error !== null) {
          callback(error, null);
        } else if (isClosed) {
          socket.destroy();
          callback(new Error('the connection of this call is closed'), null);
        } else {
          isEstablished = true;
          callback(null, socket);
        }
      });
    },
  });
  return {
    dispatcher: client,
    wasEstablished: () => {
      // No connection may be established after this point, so the result stays valid.
      isClosed = true;
      return isEstablished;
    },
    close: () => client.destroy(),
  };
}

/** Creates the HTTP client for all plain services. */
export function createServiceClient({ timers }: { timers: TimerService }): ServiceClient {
  const agent = new Agent({ ...NO_TIMEOUTS, connect: { timeout: CONNECT_DEADLINE_MS } });

  const openConnection = (endpoint: TargetEndpoint, call: ServiceCall): Connection => {
    if (!call.idempotent) return openSingleUseConnection(endpoint);
    return {
      dispatcher: agent,
      wasEstablished: (error) => !isConnectError(error),
      close: () => Promise.resolve(),
    };
  };

  const runCall = async (
    dispatcher: Dispatcher,
    endpoint: TargetEndpoint,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<ServiceResponse> => {
    const response = await dispatcher.request({
      origin: formatOrigin(endpoint),
      method: call.method,
      path: call.path,
      headers: buildHeaders(call),
      body: call.body.byteLength > 0 ? call.body : null,
      // Prevents undici from retrying idempotent methods by itself.
      idempotent: false,
      signal,
    });
    const body = await readBody(response.body);
    if (!isHttpStatus(response.statusCode)) {
      throw new Error(`the response has status ${response.statusCode}`);
    }
    return { status: response.statusCode, headers: parseHeaders(response.headers), body };
  };

  const sendCall = async (endpoint: TargetEndpoint, call: ServiceCall): Promise<ServiceResult> => {
    const connection = openConnection(endpoint, call);
    const abort = new AbortController();
    const cancelDeadline = timers.scheduleOnce(call.timeoutMs, () => abort.abort());
    try {
      return { response: await runCall(connection.dispatcher, endpoint, call, abort.signal) };
    } catch (error) {
      const sent = connection.wasEstablished(error);
      const kindAfterSend = abort.signal.aborted
        ? TargetFailureKind.Silent
        : TargetFailureKind.Broken;
      const kind = sent ? kindAfterSend : TargetFailureKind.NotConnected;
      const problem = abort.signal.aborted
        ? `no response within ${call.timeoutMs} ms`
        : formatProblem(error);
      return { failure: { kind, problem }, sent };
    } finally {
      cancelDeadline();
      await connection.close();
    }
  };

  return { sendCall, close: () => agent.close() };
}
