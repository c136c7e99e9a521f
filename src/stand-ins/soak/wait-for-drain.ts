import type { Writable } from 'node:stream';

/** Resolves when a stream takes more bytes, has closed, or the signal aborts. */
export function waitForDrain(stream: Writable, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      stream.off('drain', finish);
      stream.off('close', finish);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    stream.once('drain', finish);
    stream.once('close', finish);
    signal?.addEventListener('abort', finish);
  });
}
