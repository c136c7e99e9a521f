import { SOCKET_BUFFER_BYTES } from '../core/streams/index.ts';
import type { AnswerSink, AnswerSinkListeners } from '../core/streams/index.ts';

/** Simulates a caller that reads only as much text as the measurement tells it to. */
export interface SlowSink extends AnswerSink {
  readText(bytes: number): void;
  isEnded(): boolean;
}

/** One event in the simulated write buffer of the socket. */
interface WrittenEvent {
  framed: string;
  /** Bytes of text that the caller has not read yet. */
  unreadBytes: number;
}

/** Stands for the resume token and the JSON around the text of an event. */
const EVENT_OVERHEAD = 'f'.repeat(250);

/** Creates a caller with a write buffer that keeps unread events, as a socket does. */
export function createSlowSink(): SlowSink {
  const events: WrittenEvent[] = [];
  let buffered = 0;
  let isBlocked = false;
  let isEnded = false;
  let listeners: AnswerSinkListeners | undefined;

  const consumeText = (bytes: number): void => {
    let left = bytes;
    for (let [first] = events; first !== undefined && left > 0; [first] = events) {
      const read = Math.min(left, first.unreadBytes);
      left -= read;
      first.unreadBytes -= read;
      if (first.unreadBytes > 0) return;
      buffered -= first.framed.length;
      events.shift();
    }
  };

  return {
    writeTokens(text) {
      // Copies the text into one flat string, as a write to a socket does.
      const framed = Buffer.from(text + EVENT_OVERHEAD).toString();
      events.push({ framed, unreadBytes: text.length });
      buffered += framed.length;
      isBlocked = buffered >= SOCKET_BUFFER_BYTES;
      return !isBlocked;
    },
    writeHeartbeat: () => true,
    writeEnd() {
      isEnded = true;
    },
    writeError(error) {
      throw error;
    },
    getBufferedBytes: () => buffered,
    close() {
      throw new Error('the daemon closed the connection of a caller that was still reading');
    },
    subscribe(added) {
      listeners = added;
    },
    readText(bytes) {
      consumeText(bytes);
      if (!isBlocked || buffered > 0) return;
      isBlocked = false;
      listeners?.handleDrain();
    },
    isEnded: () => isEnded && buffered === 0,
  };
}
