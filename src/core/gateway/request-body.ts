import type { IncomingMessage } from 'node:http';
import type { MemoryAccount } from '../memory/index.ts';
import { createByteCollector } from '../memory/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** How the reading of a body ended. */
export enum BodyEnd {
  Complete = 'complete',
  /** The body is larger than the limit. */
  TooLarge = 'too-large',
  /** The memory budget has no room for more of the body. */
  NoMemory = 'no-memory',
  /** The caller did not send the body in time. */
  TimedOut = 'timed-out',
  /** The caller closed the connection. */
  Aborted = 'aborted',
}

/** Result of reading a body; `body` is empty unless it is complete. */
export interface BodyResult {
  end: BodyEnd;
  body: Buffer;
}

/** Options of `readRequestBody`. */
export interface RequestBodyOptions {
  /** Account that already holds the declared length. */
  account: Pick<MemoryAccount, 'tryReserve'>;
  maxBytes: number;
  /** Time within which the whole body has to arrive. */
  limitMs: number;
  timers: Pick<TimerService, 'scheduleOnce'>;
}

const EMPTY_BODY = Buffer.alloc(0);

/**
 * Returns the declared length of a request's body: 0 if it has none, undefined if it is chunked. Node.js
 * has checked the header fields.
 */
export function getDeclaredBytes({
  headers,
}: Pick<IncomingMessage, 'headers'>): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Reads the body of a request and calls `finish` once; the rest of one that is not read is discarded. */
export function readRequestBody(
  request: IncomingMessage,
  options: RequestBodyOptions,
  finish: (result: BodyResult) => void,
): void {
  const { account, maxBytes, limitMs, timers } = options;
  const declaredBytes = getDeclaredBytes(request);
  if (declaredBytes === 0) {
    finish({ end: BodyEnd.Complete, body: EMPTY_BODY });
    return;
  }
  /** Chunks of a body of unknown length, or the only one of a body. */
  const chunks = createByteCollector();
  /** Buffer for a body of known length that arrives in several chunks. */
  let whole: Buffer | undefined;
  let receivedBytes = 0;
  let cancelLimit: Unsubscribe | undefined;

  const buildBody = (): Buffer => whole ?? chunks.takeBytes();

  const storeChunk = (chunk: Buffer): void => {
    if (declaredBytes === undefined || chunk.length === declaredBytes) {
      chunks.addChunk(chunk);
      return;
    }
    whole ??= Buffer.allocUnsafeSlow(declaredBytes);
    chunk.copy(whole, receivedBytes);
  };

  const stop = (end: BodyEnd): void => {
    cancelLimit?.();
    request.off('data', handleChunk);
    request.off('end', handleEnd);
    request.off('close', handleClose);
    if (end === BodyEnd.Complete) {
      finish({ end, body: buildBody() });
      return;
    }
    request.resume();
    finish({ end, body: EMPTY_BODY });
  };

  function handleChunk(chunk: Buffer): void {
    if (receivedBytes + chunk.length > maxBytes) {
      stop(BodyEnd.TooLarge);
      return;
    }
    if (declaredBytes === undefined && !account.tryReserve(chunk.length)) {
      stop(BodyEnd.NoMemory);
      return;
    }
    storeChunk(chunk);
    receivedBytes += chunk.length;
  }

  function handleEnd(): void {
    stop(BodyEnd.Complete);
  }

  function handleClose(): void {
    stop(BodyEnd.Aborted);
  }

  cancelLimit = timers.scheduleOnce(limitMs, () => stop(BodyEnd.TimedOut));
  request.on('data', handleChunk);
  request.on('end', handleEnd);
  request.on('close', handleClose);
}
