import type { IncomingMessage, ServerResponse } from 'node:http';
import type { WireFormat } from '../forwarding/index.ts';
import { FailureReason } from '../forwarding/index.ts';
import type { MemoryBudget } from '../memory/index.ts';
import type { TimerService } from '../timers/index.ts';
import { countHeaderBytes } from './header-bytes.ts';
import type { BodyResult } from './request-body.ts';
import { BodyEnd, getDeclaredBytes, readRequestBody } from './request-body.ts';
import type { RequestHandler } from './request-handler.ts';
import { createResponseSink } from './response-sink.ts';

/** Dependencies of the receiver of requests. */
export interface RequestReceiverOptions {
  wire: Pick<WireFormat, 'parseRequest'>;
  handler: RequestHandler;
  budget: Pick<MemoryBudget, 'openAccount' | 'isShort'>;
  timers: Pick<TimerService, 'scheduleOnce'>;
  /** Largest body that callers may send. */
  getMaxBodyBytes(): number;
  isLeaving(): boolean;
  /** Whether the request is refused because its connection has too many requests in progress. */
  isExcess(incoming: IncomingMessage): boolean;
  /** Time without progress after which the connection of a caller that does not read is closed. */
  unreadLimitMs: number;
  /** Called with an unexpected error that has stopped a request. */
  handleFailure(error: unknown, response: ServerResponse): void;
}

/** Receives one request. */
export type ReceiveRequest = (incoming: IncomingMessage, response: ServerResponse) => void;

/** Memory for a request in progress and its connections, without the bytes of its caller. */
const REQUEST_BYTES = 32 * 1024;
/** Limit on the time to receive a body of a caller that states no deadline. */
const MAX_BODY_MS = 15_000;

const REASON_BY_BODY_END = {
  [BodyEnd.TooLarge]: FailureReason.TooLarge,
  [BodyEnd.NoMemory]: FailureReason.MemoryFull,
  [BodyEnd.TimedOut]: FailureReason.BodyTimeout,
} as const;

/**
 * Creates the function that reads requests and hands them to the handler. A request that cannot be
 * served, or for whose body there is no memory, is refused before its body is read.
 */
export function createRequestReceiver(options: RequestReceiverOptions): ReceiveRequest {
  const { wire, handler, budget, timers, getMaxBodyBytes, isLeaving, handleFailure } = options;
  const { isExcess, unreadLimitMs } = options;

  const receive: ReceiveRequest = (incoming, response) => {
    const { method = 'GET', url = '/', rawHeaders } = incoming;
    const request = wire.parseRequest(method, url, rawHeaders);
    const maxBytes = getMaxBodyBytes();
    const declaredBytes = getDeclaredBytes(incoming);
    const isTooLarge = declaredBytes !== undefined && declaredBytes > maxBytes;
    /** Whether the rest of the body may be too long to read before the next request. */
    let hasLongRest = isTooLarge;
    const headBytes = countHeaderBytes(rawHeaders);
    const account = budget.openAccount(REQUEST_BYTES + headBytes + (declaredBytes ?? 0));
    const sink = createResponseSink(response, {
      account,
      timers,
      unreadLimitMs,
      isMemoryShort: budget.isShort,
      mustClose: () => hasLongRest || isExcess(incoming) || isLeaving(),
    });
    if (account !== undefined) response.once('close', account.close);
    if (handler.refuseUnread(request, sink)) {
      account?.close();
      return;
    }
    if (isExcess(incoming)) {
      account?.close();
      handler.refuse(request, sink, FailureReason.TooManyPipelined);
      return;
    }
    if (isTooLarge) {
      handler.refuse(request, sink, FailureReason.TooLarge);
      return;
    }
    if (account === undefined) {
      handler.refuse(request, sink, FailureReason.MemoryFull);
      return;
    }

    const handleBody = ({ end, body }: BodyResult): void => {
      if (end === BodyEnd.Aborted) return;
      if (end !== BodyEnd.Complete) {
        hasLongRest = end === BodyEnd.TooLarge;
        handler.refuse(request, sink, REASON_BY_BODY_END[end]);
        return;
      }
      const forwarded = handler.handleRequest(request, body, account, sink);
      response.on('close', () => {
        if (!response.writableFinished) forwarded?.abandon();
      });
    };
    const limitMs = Math.min(request.deadlineMs ?? MAX_BODY_MS, MAX_BODY_MS);
    readRequestBody(incoming, { account, maxBytes, limitMs, timers }, (result) => {
      try {
        handleBody(result);
      } catch (error) {
        handleFailure(error, response);
      }
    });
  };

  return (incoming, response) => {
    try {
      receive(incoming, response);
    } catch (error) {
      handleFailure(error, response);
    }
  };
}
