import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/** Opens the connection of one undici client, and closes it if an answer is too long. */
export interface BoundedConnection {
  /** For the option `connect` of the client. */
  connect: buildConnector.connector;
  /** Allows an answer of the full size from now on; to be called before each further request. */
  resetLimit(): void;
  /** Whether the connection was closed because an answer was too long. */
  isLimitExceeded(): boolean;
  /** Resets the connection, so that what has been sent and not delivered is discarded. */
  abort(): void;
}

/** Limits of a connection. */
export interface BoundedConnectionOptions {
  /** Limit on the bytes of one answer as received, with its head and those of interim responses. */
  maxAnswerBytes: number;
  /** Time to establish the connection, in ms. */
  connectTimeoutMs?: number;
}

/**
 * Creates the connection of one undici client with one request at a time. undici bounds the header
 * fields of an answer, but neither its status line nor the number of interim responses. The error of
 * a request whose answer is too long names the limit.
 */
export function createBoundedConnection(options: BoundedConnectionOptions): BoundedConnection {
  const { maxAnswerBytes, connectTimeoutMs } = options;
  const connect = buildConnector(
    connectTimeoutMs === undefined ? {} : { timeout: connectTimeoutMs },
  );
  let socket: Socket | undefined;
  let answerStart = 0;
  let isExceeded = false;

  const checkLimit = (): void => {
    if (socket === undefined || socket.bytesRead - answerStart <= maxAnswerBytes) return;
    isExceeded = true;
    socket.destroy(new Error(`the answer exceeds the limit of ${maxAnswerBytes} bytes`));
  };

  return {
    connect: (connectOptions, callback) =>
      connect(connectOptions, (...result) => {
        const [, connected] = result;
        socket = connected ?? undefined;
        answerStart = 0;
        // Before undici adds its listener, so that the bytes beyond the limit are not read.
        socket?.on('readable', checkLimit);
        callback(...result);
      }),
    resetLimit() {
      answerStart = socket?.bytesRead ?? 0;
    },
    isLimitExceeded: () => isExceeded,
    abort: () => {
      socket?.resetAndDestroy();
    },
  };
}
