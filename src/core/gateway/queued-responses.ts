import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Adds a response to the list of its connection. */
export type TrackQueuedResponse = (socket: Socket, response: ServerResponse) => void;

/**
 * Creates a function that lets the responses of pipelined requests emit `close` with their connection.
 * Node.js emits it only on the response whose turn it is, so that the others would stay open for good.
 */
export function createQueuedResponseTracker(): TrackQueuedResponse {
  const responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();

  const createSet = (socket: Socket): Set<ServerResponse> => {
    const responses = new Set<ServerResponse>();
    responsesBySocket.set(socket, responses);
    socket.once('close', () => {
      for (const response of responses) if (response.socket === null) response.emit('close');
    });
    return responses;
  };

  return (socket, response) => {
    const responses = responsesBySocket.get(socket) ?? createSet(socket);
    responses.add(response);
    response.once('close', () => responses.delete(response));
  };
}
