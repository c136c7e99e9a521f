import { createConnection as openSocket } from 'node:net';
import type { Socket, TcpNetConnectOpts } from 'node:net';
import type { Writable } from 'node:stream';
import { Client, errors } from 'undici';

import type { Dispatcher } from 'undici';
import { isLocalFault } from '../connections/index.ts';
import { formatProblem } from '../errors/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import type { ResponseHead, TargetRequest, WireFormat } from './types.ts';

/** Receives the response to one send, which ends with exactly one `handleEnd` or `handleError`. */
export interface ExchangeListener {
  /** The connection is established and the request is about to be written. */
  handleSent(): void;
  handleHead(head: ResponseHead): void;
  handleData(chunk: Buffer): void;
  /** The response is complete; one without framing is over because its connection has ended. */
  handleEnd(isFramed: boolean): void;
  handleError(failure: SendFailure, problem: string): void;
}

/** How a send failed. */
export enum SendFailure {
  /** The target has not received the request. */
  NotSent = 'not-sent',
  /** The target may have received the request. */
  Sent = 'sent',
  /** This gateway has no descriptor or port for a connection; no target is at fault. */
  NoResources = 'no-resources',
  /** The request cannot be written as HTTP; no target is at fault. */
  Unsendable = 'unsendable',
}

/** One send to a target. */
export interface TargetExchange {
  /** Ends the exchange and closes its connection; the listener is not called any more. */
  cancel(): void;
  /** Stops reading until `resume`, so that the target has to buffer the rest. */
  pause(): void;
  resume(): void;
}

/** Sends requests to targets. */
export interface TargetClient {
  /** Starts a send; the listener is called only after `send` has returned. */
  send(request: TargetRequest, listener: ExchangeListener): TargetExchange;
  /** Whether a send may open a connection now. */
  hasFreeConnection(): boolean;
  /** Returns the number of connections of sends, those that are being established included. */
  countConnections(): number;
  /**
   * Resolves to whether a process accepts connections at an address; never rejects. If this gateway
   * has no descriptor for the question, the process is assumed to accept them.
   */
  probeListener(address: string): Promise<boolean>;
  close(): Promise<void>;
}

/** Options of `createTargetClient`. */
export interface TargetClientOptions {
  /** Most connections at once; default: no limit. */
  maxConnections?: number;
}

/** A send fails if it has no connection after this time; a round trip takes 1 to 3 ms. */
export const CONNECT_TIMEOUT_MS = 120;
/** After a send without resources, no other send is started for this long. */
const NO_RESOURCES_PAUSE_MS = 50;
/** Bytes of a response that are read from its socket at once; the default of undici. */
const SOCKET_BUFFER_BYTES = 64 * 1024;

/** State of one connection, needed to tell whether a response is complete. */
interface ConnectionState {
  /** Set if the connection failed; a response without a length then does not count as complete. */
  failure: Error | undefined;
  socket: Socket | undefined;
  isConnected: boolean;
  /** Whether the head of the final response has arrived. */
  hasHead: boolean;
  /** Whether the response has a length or is chunked, so that its end is unambiguous. */
  isFramed: boolean;
}

/**
 * Bytes that a target may send before the head of its final response is complete; undici bounds the
 * header fields, but neither a status line nor the number of interim responses.
 */
const MAX_BYTES_BEFORE_HEAD = 64 * 1024;

/** Lowest status of a final response; lower ones are interim. */
const FINAL_STATUS_MIN = 200;

/** Time without data after which the operating system asks whether the peer is still there. */
const KEEP_ALIVE_DELAY_MS = 60_000;
/** Port of an address that names none. */
const HTTP_PORT = 80;

const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

function hasFraming(rawHeaders: readonly string[]): boolean {
  return rawHeaders.some(
    (field, index) => index % 2 === 0 && FRAMING_FIELDS.has(field.toLowerCase()),
  );
}

/**
 * Checks whether a connection that ended was reset. A reset that arrives together with data looks
 * like an orderly end; an empty write tells them apart, because it fails after a reset.
 */
function checkReset(socket: Writable, report: (error: Error | undefined) => void): void {
  socket.write('', (error) => report(error ?? undefined));
}

/**
 * Creates a client for one request that records how its connection ended. The connection attempt has
 * no time limit of its own: the send destroys its socket.
 */
function createConnection(address: string, state: ConnectionState): Client {
  return new Client(`http://${address}`, {
    connect: ({ hostname, port }, callback) => {
      const socketOptions: TcpNetConnectOpts & { highWaterMark: number } = {
        host: hostname,
        port: Number(port || HTTP_PORT),
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
        highWaterMark: SOCKET_BUFFER_BYTES,
      };
      const socket = openSocket(socketOptions);
      state.socket = socket;
      socket.on('error', (error: Error) => {
        state.failure = error;
        if (!state.isConnected) callback(error, null);
      });
      socket.on('readable', () => {
        if (state.hasHead || socket.bytesRead <= MAX_BYTES_BEFORE_HEAD) return;
        socket.destroy(new Error('the head of the response does not end'));
      });
      socket.once('connect', () => {
        state.isConnected = true;
        callback(null, socket);
      });
    },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/**
 * Creates the client for targets. Each request uses a new connection, so that it never gets a
 * connection that is dead or holds bytes of an earlier response.
 */
export function createTargetClient(
  wire: WireFormat,
  timers: Pick<TimerService, 'getMonotonicMs' | 'scheduleOnce'>,
  { maxConnections = Infinity }: TargetClientOptions = {},
): TargetClient {
  const openClients = new Set<Client>();
  let pausedUntilMs = -Infinity;

  /** Reports after `send` has returned that no connection could be created. */
  const failBeforeSend = (listener: ExchangeListener, error: unknown): TargetExchange => {
    const cancel = timers.scheduleOnce(0, () =>
      listener.handleError(SendFailure.NotSent, formatProblem(error)),
    );
    return { cancel, pause: () => undefined, resume: () => undefined };
  };

  return {
    send(request, listener) {
      const state: ConnectionState = {
        failure: undefined,
        socket: undefined,
        hasHead: false,
        isFramed: false,
        isConnected: false,
      };
      let client: Client;
      try {
        client = createConnection(request.target.address, state);
      } catch (error) {
        return failBeforeSend(listener, error);
      }
      openClients.add(client);
      let isDone = false;
      let wasSent = false;
      let active: Dispatcher.DispatchController | undefined;
      let cancelConnectTimeout: Unsubscribe | undefined;
      const finish = (): boolean => {
        if (isDone) return false;
        isDone = true;
        cancelConnectTimeout?.();
        openClients.delete(client);
        void client.destroy();
        // Closes the socket of an attempt that has not been established, which undici would keep.
        state.socket?.destroy();
        return true;
      };
      const fail = (problem: string): void => {
        const failure = wasSent ? SendFailure.Sent : SendFailure.NotSent;
        if (finish()) listener.handleError(failure, problem);
      };
      const failWithoutResources = (problem: string): void => {
        pausedUntilMs = timers.getMonotonicMs() + NO_RESOURCES_PAUSE_MS;
        if (finish()) listener.handleError(SendFailure.NoResources, problem);
      };
      /** Reports after `send` has returned that undici has rejected the request itself. */
      const rejectLater = (error: unknown): void => {
        timers.scheduleOnce(0, () => {
          if (finish()) listener.handleError(SendFailure.Unsendable, formatProblem(error));
        });
      };
      const complete = (): void => {
        if (finish()) listener.handleEnd(state.isFramed);
      };
      let unhandledChunks: Buffer[] = [];
      const deliverChunks = (): void => {
        const chunks = unhandledChunks;
        unhandledChunks = [];
        if (isDone || chunks.length === 0) return;
        try {
          listener.handleData(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
        } catch (error) {
          fail(formatProblem(error));
        }
      };
      cancelConnectTimeout = timers.scheduleOnce(CONNECT_TIMEOUT_MS, () => {
        // A process that is late sees the timeout before the connection that came in time.
        cancelConnectTimeout = timers.scheduleOnce(0, () => {
          if (!wasSent) fail('no connection in time');
        });
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
              controller.abort(new Error('cancelled before the connection was established'));
              return;
            }
            active = controller;
            wasSent = true;
            cancelConnectTimeout?.();
            listener.handleSent();
          },
          onResponseStart(controller, status) {
            if (isDone) return;
            state.hasHead = status >= FINAL_STATUS_MIN;
            const raw = (controller as { rawHeaders?: Buffer[] }).rawHeaders ?? [];
            const fields = raw.map((field) => field.toString('latin1'));
            state.isFramed = hasFraming(fields);
            listener.handleHead(wire.parseResponseHead(status, fields));
          },
          onResponseData(_controller, chunk) {
            if (isDone) return;
            // Chunks that were read together are handed over as one: of an answer in chunks of a byte,
            // each would take some hundred bytes.
            if (unhandledChunks.length === 0) queueMicrotask(deliverChunks);
            unhandledChunks.push(chunk);
          },
          onResponseEnd() {
            deliverChunks();
            // On a connection that closes, undici reports a reset as the end of the response.
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
            deliverChunks();
            if (error instanceof errors.InvalidArgumentError) rejectLater(error);
            else if (!wasSent && isLocalFault(error)) failWithoutResources(formatProblem(error));
            else fail(formatProblem(error));
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
    hasFreeConnection: () =>
      openClients.size < maxConnections && timers.getMonotonicMs() >= pausedUntilMs,
    countConnections: () => openClients.size,
    probeListener(address) {
      const { hostname, port } = new URL(`http://${address}`);
      return new Promise((resolve) => {
        const socket = openSocket(Number(port), hostname);
        const end = (isListening: boolean): void => {
          socket.destroy();
          resolve(isListening);
        };
        const cancelTimeout = timers.scheduleOnce(CONNECT_TIMEOUT_MS, () => end(false));
        socket.on('connect', () => end(true));
        // A refused connection is an answer to the question, not a problem of its own.
        socket.on('error', (error) => end(isLocalFault(error)));
        socket.on('close', cancelTimeout);
      });
    },
    async close() {
      await Promise.all([...openClients].map((client) => client.destroy()));
    },
  };
}
