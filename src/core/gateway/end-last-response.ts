import type { IncomingMessage, ServerResponse } from 'node:http';
import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** Most bytes of a request that are read and discarded after its response. */
const MAX_REST_BYTES = 16 * 1024 * 1024;
/** Longest time for which the rest of a request is read after its response. */
const MAX_REST_MS = 2_000;

/** Calls the listener once the request has arrived whole, or no more of it is read. */
function waitForRest(
  request: IncomingMessage,
  timers: Pick<TimerService, 'scheduleOnce'>,
  listener: () => void,
): void {
  let restBytes = 0;
  let cancelLimit: Unsubscribe | undefined;
  const end = (): void => {
    cancelLimit?.();
    request.off('data', handleChunk);
    request.off('end', end);
    request.off('close', end);
    listener();
  };
  function handleChunk(chunk: Buffer): void {
    restBytes += chunk.length;
    if (restBytes > MAX_REST_BYTES) end();
  }
  cancelLimit = timers.scheduleOnce(MAX_REST_MS, end);
  request.on('data', handleChunk);
  request.on('end', end);
  request.on('close', end);
}

/**
 * Sends the body of a response after which the connection closes, and discards the rest of the request
 * before it closes. A connection that closes on unread bytes is reset, and callers that write their
 * request first then lose the response.
 */
export function endLastResponse(
  response: ServerResponse,
  body: Buffer,
  timers: Pick<TimerService, 'scheduleOnce'>,
): void {
  const { req: request } = response;
  if (request.complete) {
    response.end(body);
    return;
  }
  if (body.length > 0) response.write(body);
  else response.flushHeaders();
  waitForRest(request, timers, () => response.end());
}
