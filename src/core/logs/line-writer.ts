/** Writes bytes to the log output; like `fs.write`, it must not block the caller. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Buffers log lines and writes them asynchronously, so that a blocked output never blocks callers. */
export interface LineWriter {
  /** Buffers a line, or drops it if the buffer is full. */
  addLine(line: string): void;
  /** Resolves when all lines are written, or after the timeout if the output stays blocked. */
  drain(timeoutMs: number): Promise<void>;
}

/** Dependencies of the line writer. */
export interface LineWriterOptions {
  writeBytes: WriteBytes;
  scheduleOnce(delayMs: number, listener: () => void): () => void;
  /** Returns the log line that reports how many lines were dropped. */
  formatDroppedLines(count: number): string;
}

/** Delay before buffered lines are written, so that several lines share one write. */
export const FLUSH_DELAY_MS = 50;
/** Maximum number of bytes in the buffer; further lines are counted and dropped. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Delay before a write to a full pipe is retried. */
const RETRY_DELAY_MS = 50;
/** Interval at which `drain` checks whether all lines are written. */
const DRAIN_POLL_MS = 10;

/** Creates a line writer with an empty buffer. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const { writeBytes, scheduleOnce, formatDroppedLines } = options;
  let lines: string[] = [];
  let bufferedBytes = 0;
  let droppedLines = 0;
  let isScheduled = false;
  let pending: Buffer | undefined;

  const scheduleWrite = (delayMs: number): void => {
    if (isScheduled) return;
    isScheduled = true;
    scheduleOnce(delayMs, () => {
      isScheduled = false;
      writeNext();
    });
  };

  const takeBatch = (): Buffer => {
    if (droppedLines > 0) lines.push(formatDroppedLines(droppedLines));
    const bytes = Buffer.from(`${lines.join('\n')}\n`);
    lines = [];
    droppedLines = 0;
    bufferedBytes = bytes.length;
    return bytes;
  };

  function writeNext(): void {
    if (pending !== undefined) return;
    if (lines.length === 0 && droppedLines === 0) return;
    pending = takeBatch();
    writePending();
  }

  function writePending(): void {
    if (pending === undefined) return;
    writeBytes(pending, (error, written) => {
      if (pending === undefined) return;
      if (error?.code === 'EAGAIN') {
        scheduleOnce(RETRY_DELAY_MS, writePending);
        return;
      }
      // After any other error, such as a closed pipe, the batch is dropped: the error cannot be
      // logged, and the process has to keep running.
      const rest = error === null ? pending.subarray(written) : Buffer.alloc(0);
      bufferedBytes -= pending.length - rest.length;
      pending = rest.length === 0 ? undefined : rest;
      if (pending !== undefined) writePending();
      else if (lines.length > 0) scheduleWrite(FLUSH_DELAY_MS);
    });
  }

  return {
    addLine(line) {
      const bytes = Buffer.byteLength(line) + 1;
      if (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
        droppedLines++;
        return;
      }
      bufferedBytes += bytes;
      lines.push(line);
      scheduleWrite(FLUSH_DELAY_MS);
    },
    async drain(timeoutMs) {
      for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += DRAIN_POLL_MS) {
        writeNext();
        if (pending === undefined && lines.length === 0) return;
        await new Promise<void>((resolve) => {
          scheduleOnce(DRAIN_POLL_MS, resolve);
        });
      }
    },
  };
}
