/** Writes bytes to the log's file; like `fs.write`, it must not block the caller. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Writes log lines without ever waiting for the reader of standard output. */
export interface LineWriter {
  addLine(line: string): void;
  /** Resolves when all lines are written, or after the time if the reader does not read. */
  drain(limitMs: number): Promise<void>;
}

/** What the writer needs. */
export interface LineWriterOptions {
  writeBytes: WriteBytes;
  scheduleOnce(delayMs: number, listener: () => void): () => void;
  /** Returns the line that tells how many lines were left out. */
  formatOmission(count: number): string;
}

/** Lines are collected for this long, so that many share one write. */
export const COLLECT_MS = 50;
/** Bytes that wait for the reader; further lines are counted and left out. */
export const MAX_WAITING_BYTES = 1024 * 1024;
/** Pause before a write is tried again that a full pipe refused. */
const RETRY_MS = 50;
const DRAIN_LOOK_MS = 10;

/** Creates the writer. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const { writeBytes, scheduleOnce, formatOmission } = options;
  let lines: string[] = [];
  let waitingBytes = 0;
  let omitted = 0;
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

  const takeLines = (): Buffer => {
    if (omitted > 0) lines.push(formatOmission(omitted));
    const bytes = Buffer.from(`${lines.join('\n')}\n`);
    lines = [];
    omitted = 0;
    waitingBytes = bytes.length;
    return bytes;
  };

  function writeNext(): void {
    if (pending !== undefined) return;
    if (lines.length === 0 && omitted === 0) return;
    pending = takeLines();
    writePending();
  }

  function writePending(): void {
    if (pending === undefined) return;
    writeBytes(pending, (error, written) => {
      if (pending === undefined) return;
      if (error?.code === 'EAGAIN') {
        scheduleOnce(RETRY_MS, writePending);
        return;
      }
      // Without a reader nothing can be reported; the process goes on.
      const rest = error === null ? pending.subarray(written) : Buffer.alloc(0);
      waitingBytes -= pending.length - rest.length;
      pending = rest.length === 0 ? undefined : rest;
      if (pending !== undefined) writePending();
      else if (lines.length > 0) scheduleWrite(COLLECT_MS);
    });
  }

  return {
    addLine(line) {
      const bytes = Buffer.byteLength(line) + 1;
      if (waitingBytes + bytes > MAX_WAITING_BYTES) {
        omitted++;
        return;
      }
      waitingBytes += bytes;
      lines.push(line);
      scheduleWrite(COLLECT_MS);
    },
    async drain(limitMs) {
      for (let waitedMs = 0; waitedMs < limitMs; waitedMs += DRAIN_LOOK_MS) {
        writeNext();
        if (pending === undefined && lines.length === 0) return;
        await new Promise<void>((resolve) => {
          scheduleOnce(DRAIN_LOOK_MS, resolve);
        });
      }
    },
  };
}
