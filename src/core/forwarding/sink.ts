import type { HeaderList } from './types.ts';

/** The caller's side of one request. */
export interface CallerSink {
  /** Sends a whole answer. */
  sendAnswer(status: number, headers: HeaderList, body: Buffer): void;
  /** Sends the head of an answer whose body follows in parts. */
  startBody(status: number, headers: HeaderList): void;
  /** Sends a part of the body; false if the caller reads slowly. */
  writeBody(part: Buffer): boolean;
  endBody(): void;
  /** Closes the connection, so that an incomplete answer does not look complete. */
  breakOff(): void;
  /** Calls the listener when a slow caller has read what was held for it. */
  onDrain(listener: () => void): void;
}
