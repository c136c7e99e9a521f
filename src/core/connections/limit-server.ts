import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** Options of `limitServer`. */
export interface ServerLimitOptions {
  /** Most open connections; the server closes further ones at once. */
  maxConnections: number;
  timers: Pick<TimerService, 'getMonotonicMs' | 'scheduleOnce'>;
  /** Called for each connection that was closed to make room. */
  handleClosed(): void;
  /** Called for each connection that found no room. */
  handleDropped(): void;
}

/** State of one connection. */
interface ConnectionState {
  /** Since when the connection has been idle, or has been receiving its request. */
  sinceMs: number;
  /** Requests whose response is not over; several if the peer does not wait for responses. */
  requests: Set<IncomingMessage>;
}

/** Share of the limit above which connections without a request are closed. */
const FULL_SHARE = 0.95;
/** A connection keeps its place for this long, so that its peer has time to send a request. */
const MIN_AGE_MS = 500;

/**
 * Limits the connections of a server. Near the limit, it closes connections that have no request to
 * be answered: those that have been idle longest, or else those that have been sending their request
 * longest. Returns a function that counts the open connections.
 */
export function limitServer(server: Server, options: ServerLimitOptions): () => number {
  const { maxConnections, timers } = options;
  const states = new Map<Socket, ConnectionState>();
  /** Connections without a request, and those with one; both with the longest such first. */
  const idle = new Set<Socket>();
  const receiving = new Set<Socket>();
  let cancelNextRound: Unsubscribe | undefined;

  const isReceiving = (socket: Socket): boolean =>
    [...(states.get(socket)?.requests ?? [])].every(({ complete }) => !complete);

  const isOld = (socket: Socket): boolean =>
    timers.getMonotonicMs() - (states.get(socket)?.sinceMs ?? Infinity) >= MIN_AGE_MS;

  /** Finds the connection to close; those whose request is complete leave the set for good. */
  const findRemovable = (): Socket | undefined => {
    const [oldestIdle] = idle;
    if (oldestIdle !== undefined && isOld(oldestIdle)) return oldestIdle;
    for (const socket of receiving) {
      if (isReceiving(socket)) return isOld(socket) ? socket : undefined;
      receiving.delete(socket);
    }
    return undefined;
  };

  const remove = (socket: Socket): void => {
    states.delete(socket);
    idle.delete(socket);
    receiving.delete(socket);
  };

  /** Looks again for connections that are still too young to be closed. */
  function scheduleNextRound(): void {
    cancelNextRound ??= timers.scheduleOnce(MIN_AGE_MS, () => {
      cancelNextRound = undefined;
      makeRoom();
    });
  }

  function makeRoom(): void {
    while (states.size > maxConnections * FULL_SHARE) {
      const socket = findRemovable();
      if (socket === undefined) {
        scheduleNextRound();
        return;
      }
      remove(socket);
      socket.destroy();
      options.handleClosed();
    }
  }

  const startRequest = (request: IncomingMessage, response: ServerResponse): void => {
    const { socket } = request;
    const state = states.get(socket);
    if (state === undefined) return;
    idle.delete(socket);
    if (state.requests.size === 0) {
      state.sinceMs = timers.getMonotonicMs();
      receiving.add(socket);
    }
    state.requests.add(request);
    response.once('close', () => {
      state.requests.delete(request);
      if (state.requests.size > 0 || !states.has(socket)) return;
      receiving.delete(socket);
      state.sinceMs = timers.getMonotonicMs();
      idle.add(socket);
    });
  };

  // An assignment, as the server reads its property when a connection comes.
  Object.assign(server, { maxConnections });
  server.on('connection', (socket: Socket) => {
    states.set(socket, { sinceMs: timers.getMonotonicMs(), requests: new Set() });
    idle.add(socket);
    socket.once('close', () => remove(socket));
    makeRoom();
  });
  server.on('request', startRequest);
  server.on('drop', options.handleDropped);
  server.on('close', () => cancelNextRound?.());
  return () => states.size;
}
