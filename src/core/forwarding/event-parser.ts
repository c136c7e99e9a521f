/** One complete event of a stream, with its bytes exactly as the target sent them. */
export interface StreamEvent {
  id: string | undefined;
  bytes: Buffer;
}

/** Splits the bytes of a stream into complete events. */
export interface EventParser {
  /** Appends bytes and returns the events that are now complete. */
  addChunk(chunk: Buffer): StreamEvent[];
  /** Returns the number of bytes of the last, incomplete event. */
  countPendingBytes(): number;
}

/**
 * Largest event that is buffered until it is complete. An event holds a few tokens; a target that
 * sends more without the end of an event sends something else.
 */
export const MAX_EVENT_BYTES = 64 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*)$/m;

/** Returns the offset after the blank line that ends the first event at or after `from`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let index = from; index < bytes.length; index++) {
    if (bytes[index] !== LINE_FEED) continue;
    const next = bytes[index + 1];
    if (next === LINE_FEED) return index + 2;
    if (next === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3;
  }
  return -1;
}

function parseEventId(bytes: Buffer): string | undefined {
  return ID_LINE.exec(bytes.toString('latin1'))?.[1]?.replace(/\r$/, '');
}

/** Creates a parser for one `text/event-stream` body. */
export function createEventParser(): EventParser {
  let pending: Buffer = Buffer.alloc(0);
  /** Begins with the pending bytes, with room for more; undefined if these are part of a chunk. */
  let storage: Buffer | undefined;

  /** Appends in place, as copying all pending bytes for each chunk takes time with small chunks. */
  const append = (chunk: Buffer): Buffer => {
    const length = pending.length + chunk.length;
    if (storage === undefined || storage.length < length) {
      storage = Buffer.allocUnsafe(2 * length);
      pending.copy(storage);
    }
    chunk.copy(storage, pending.length);
    return storage.subarray(0, length);
  };

  return {
    addChunk(chunk) {
      pending = pending.length === 0 ? chunk : append(chunk);
      const events: StreamEvent[] = [];
      let start = 0;
      // The end of an event spans up to three bytes, two of which may have arrived before.
      let searchFrom = Math.max(0, pending.length - chunk.length - 2);
      for (;;) {
        const end = findEventEnd(pending, searchFrom);
        if (end < 0) break;
        const bytes = pending.subarray(start, end);
        events.push({ id: parseEventId(bytes), bytes });
        start = end;
        searchFrom = end;
      }
      // The bytes of the events stay in the buffer that they arrived in.
      if (events.length > 0) storage = undefined;
      pending = pending.subarray(start);
      return events;
    },
    countPendingBytes: () => pending.length,
  };
}

/** Parses an event id as a number; undefined if it is not one. */
export function parseEventNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d+$/.test(id) ? Number(id) : undefined;
}
