import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerSink } from '../forwarding/index.ts';
import type { MemoryAccount } from '../memory/index.ts';
import type { TimerService } from '../timers/index.ts';
import { endLastResponse } from './end-last-response.ts';

/** Bytes buffered for a slow caller before the gateway stops reading from the target. */
const HIGH_WATER_MARK_BYTES = 64 * 1024;

/** Options of `createResponseSink`. */
export interface ResponseSinkOptions {
  /** Account that holds the bytes that the caller has not taken; it is closed with the response. */
  account?: Pick<MemoryAccount, 'charge'>;
  timers: Pick<TimerService, 'scheduleOnce'>;
  /** Time without progress after which the connection of a caller that does not read is closed. */
  unreadLimitMs: number;
  /** Whether memory is short, so that nothing more should be buffered. */
  isMemoryShort(): boolean;
  /** Whether the caller should send no further request on the connection. */
  mustClose(): boolean;
}

/** Creates a sink that writes the response to one request to a Node.js response. */
export function createResponseSink(
  response: ServerResponse,
  options: ResponseSinkOptions,
): CallerSink {
  const { account, timers, unreadLimitMs, isMemoryShort, mustClose } = options;
  let chargedBytes = 0;
  const buildConnectionHeaders = (isLast: boolean): string[] =>
    isLast ? ['Connection', 'close'] : [];

  const chargeUnsent = (): void => {
    account?.charge(response.writableLength - chargedBytes);
    chargedBytes = response.writableLength;
  };

  // The limit on an unread response must not end the next one on the connection.
  if (response.socket !== null) response.socket.setTimeout(0);
  else response.once('socket', (socket: Socket) => socket.setTimeout(0));

  /** Closes the connection of a caller that takes nothing of the response for a time. */
  const limitUnread = (): void => {
    response.setTimeout(unreadLimitMs, () => response.destroy());
  };

  return {
    sendResponse(status, headers, body) {
      const length = ['Content-Length', String(body.length)];
      const isLast = mustClose();
      response.writeHead(status, [...headers, ...length, ...buildConnectionHeaders(isLast)]);
      if (isLast) endLastResponse(response, body, timers);
      else response.end(body);
      chargeUnsent();
      limitUnread();
    },
    startBody(status, headers) {
      response.writeHead(status, [...headers, ...buildConnectionHeaders(mustClose())]);
    },
    writeBody(part) {
      const hasRoom = response.write(part);
      chargeUnsent();
      return hasRoom || (response.writableLength < HIGH_WATER_MARK_BYTES && !isMemoryShort());
    },
    endBody() {
      response.end();
      chargeUnsent();
      limitUnread();
    },
    abort: () => {
      response.destroy();
    },
    onWritable: (listener) => {
      response.once('drain', () => {
        chargeUnsent();
        listener();
      });
    },
  };
}
