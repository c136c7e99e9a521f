import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService } from '../timers/index.ts';

/** Handles one request. */
export type HandleRequest = (incoming: IncomingMessage, response: ServerResponse) => void;

/** Limits the requests that callers send on a connection without waiting for answers. */
export interface PipelineLimit {
  /**
   * Passes a request on; one that is pipelined waits until the event loop has served other connections.
   * Nothing is passed on after an excess request.
   */
  schedule(incoming: IncomingMessage, response: ServerResponse): void;
  /** Whether the request exceeds the limit and has to be refused as the last one of its connection. */
  isExcess(incoming: IncomingMessage): boolean;
}

/** Most requests of a connection in progress at once. */
export const MAX_PIPELINED_REQUESTS = 16;

/** Requests of one connection. */
interface ConnectionState {
  inProgress: number;
  hasExcess: boolean;
  /** Pipelined requests that are not handled yet, in order. */
  waiting: (() => void)[];
}

/**
 * Discards what else arrives on a connection. It is still read, so that its end is noticed, but no longer
 * parsed.
 */
function discardInput(socket: Socket): void {
  // The chunk in which the request has arrived is still being parsed.
  queueMicrotask(() => {
    if (socket.destroyed) return;
    socket.removeAllListeners('data');
    socket.on('data', () => undefined);
    socket.resume();
  });
}

/** Creates the limit for the connections of a server that handles requests with `handle`. */
export function createPipelineLimit(
  timers: Pick<TimerService, 'scheduleOnce'>,
  handle: HandleRequest,
): PipelineLimit {
  const states = new WeakMap<Socket, ConnectionState>();
  const excess = new WeakSet<IncomingMessage>();

  const getState = (socket: Socket): ConnectionState => {
    const state = states.get(socket) ?? { inProgress: 0, hasExcess: false, waiting: [] };
    states.set(socket, state);
    return state;
  };

  const handleNext = (socket: Socket, waiting: (() => void)[]): void => {
    if (socket.destroyed) return;
    waiting.shift()?.();
    if (waiting.length > 0) timers.scheduleOnce(0, () => handleNext(socket, waiting));
  };

  return {
    schedule(incoming, response) {
      const { socket } = incoming;
      const state = getState(socket);
      if (state.hasExcess) return;
      if (state.inProgress === MAX_PIPELINED_REQUESTS) {
        state.hasExcess = true;
        excess.add(incoming);
        discardInput(socket);
      }
      state.inProgress++;
      response.once('close', () => {
        state.inProgress--;
      });
      if (state.inProgress === 1) {
        handle(incoming, response);
        return;
      }
      state.waiting.push(() => handle(incoming, response));
      if (state.waiting.length === 1)
        timers.scheduleOnce(0, () => handleNext(socket, state.waiting));
    },
    isExcess: (incoming) => excess.has(incoming),
  };
}
