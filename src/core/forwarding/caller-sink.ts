import type { HeaderList } from './types.ts';

/** Writes the response of one request to its caller. */
export interface CallerSink {
  /** Sends a complete response. */
  sendResponse(status: number, headers: HeaderList, body: Buffer): void;
  /** Sends the head of a response whose body follows in parts. */
  startBody(status: number, headers: HeaderList): void;
  /** Sends a part of the body; false if data is buffered because the caller reads slowly. */
  writeBody(part: Buffer): boolean;
  /** Ends the body, so that the response is complete. */
  endBody(): void;
  /** Closes the connection, so that an incomplete response does not look complete. */
  abort(): void;
  /** Calls the listener once a slow caller has read the buffered data. */
  onWritable(listener: () => void): void;
}
