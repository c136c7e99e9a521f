import type { ServerResponse } from 'node:http';

/**
 * Responses that have not been handed whole to the operating system. Node.js counts a connection as
 * idle, and closes it with its server, as soon as `end` was called on the response.
 */
export interface UnsentResponses {
  track(response: ServerResponse): void;
  count(): number;
  /** Resolves when the responses that are tracked now have been sent, or their connections closed. */
  waitUntilSent(): Promise<void>;
  /** Resolves when the responses that are handed over now have been sent; others may still be written. */
  waitUntilEndedSent(): Promise<void>;
}

/** Creates an empty list. */
export function createUnsentResponses(): UnsentResponses {
  const responses = new Set<ServerResponse>();
  const waitForAll = async (awaited: readonly ServerResponse[]): Promise<void> => {
    const closings = awaited.map(
      (response) =>
        new Promise<void>((resolve) => {
          response.once('close', resolve);
        }),
    );
    await Promise.all(closings);
  };
  return {
    track(response) {
      responses.add(response);
      response.once('close', () => responses.delete(response));
    },
    count: () => responses.size,
    waitUntilSent: () => waitForAll([...responses]),
    waitUntilEndedSent: () => waitForAll([...responses].filter((one) => one.writableEnded)),
  };
}
