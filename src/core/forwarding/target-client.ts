import type { Writable } from 'node:stream';
import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import { formatProblem } from '../errors/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
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

/** What one connection has seen. */
interface ConnectionState {
  /** Set if the connection broke; an answer without a length must not pass for complete then. */
  failure: Error | undefined;
  socket: Writable | undefined;
  /** Whether the answer names a length or comes in chunks, so that its end is certain. */
  isFramed: boolean;
}

const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

function hasFraming(rawHeaders: readonly string[]): boolean {
  return rawHeaders.some(
    (field, index) => index % 2 === 0 && FRAMING_FIELDS.has(field.toLowerCase()),
  );
}

/**
 * Finds out whether a connection that ended was reset. A reset that arrives together with data
 * shows as an orderly end; writing nothing tells them apart, because it fails after a reset.
 */
function checkReset(socket: Writable, report: (error: Error | undefined) => void): void {
  socket.write('', (error) => report(error ?? undefined));
}

/** Creates a client for one request, which notes how its connection ended. */
function createConnection(address: string, state: ConnectionState): Client {
  const connect = buildConnector({ timeout: SOCKET_CONNECT_TIMEOUT_MS });
  return new Client(`http://${address}`, {
    connect: (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        state.socket = socket ?? undefined;
        socket?.on('error', (error: Error) => {
          state.failure = error;
        });
        callback(...result);
      });
    },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/**
 * Creates the client for targets. Each request uses a new connection: a connection that went
 * silent, or that holds bytes of an earlier answer, then never meets a request.
 */
export function createTargetClient(
  wire: WireFormat,
  timers: Pick<TimerService, 'scheduleOnce'>,
): TargetClient {
  const open = new Set<Client>();

  return {
    send(request, listener) {
      const state: ConnectionState = { failure: undefined, socket: undefined, isFramed: false };
      const client = createConnection(request.target.address, state);
      open.add(client);
      let isDone = false;
      let wasSent = false;
      let active: Dispatcher.DispatchController | undefined;
      let cancelConnectLimit: Unsubscribe | undefined;
      const finish = (): boolean => {
        if (isDone) return false;
        isDone = true;
        cancelConnectLimit?.();
        open.delete(client);
        void client.destroy();
        return true;
      };
      const fail = (problem: string): void => {
        if (finish()) listener.handleError(wasSent, problem);
      };
      const complete = (): void => {
        if (finish()) listener.handleEnd();
      };
      cancelConnectLimit = timers.scheduleOnce(CONNECT_LIMIT_MS, () => {
        if (!wasSent) fail('no connection in time');
      });
      client.dispatch(
        {
          method: request.request.method,
          path: request.request.path,
          headers: wire.buildTargetHeaders(request),
          body: request.body.length === 0 ? null : request.body,
        },
        {
          onRequestStart(controller) {
            if (isDone) {
              controller.abort(new Error('given up before the connection stood'));
              return;
            }
            active = controller;
            wasSent = true;
            cancelConnectLimit?.();
            listener.handleSent();
          },
          onResponseStart(controller, status) {
            if (isDone) return;
            const raw = (controller as { rawHeaders?: Buffer[] }).rawHeaders ?? [];
            const fields = raw.map((field) => field.toString('latin1'));
            state.isFramed = hasFraming(fields);
            listener.handleHead(wire.parseAnswerHead(status, fields));
          },
          onResponseData(_controller, chunk) {
            if (!isDone) listener.handleData(chunk);
          },
          onResponseEnd() {
            // The client takes a reset for the end of an answer on a connection that closes.
            if (state.failure !== undefined) fail(formatProblem(state.failure));
            else if (state.isFramed || state.socket === undefined) complete();
            else {
              checkReset(state.socket, (error) => {
                if (error === undefined) complete();
                else fail(formatProblem(error));
              });
            }
          },
          onResponseError(_controller, error) {
            fail(formatProblem(error));
          },
        },
      );
      return {
        cancel() {
          finish();
        },
        pause: () => active?.pause(),
        resume: () => active?.resume(),
      };
    },
    async close() {
      await Promise.all([...open].map((client) => client.destroy()));
    },
  };
}
