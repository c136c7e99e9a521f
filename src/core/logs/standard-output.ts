import { write } from 'node:fs';
import type { TimerService } from '../timers/index.ts';
import type { LineWriter } from './line-writer.ts';
import { createLineWriter } from './line-writer.ts';

const STANDARD_OUTPUT = 1;

/** Global object in which Roarr looks up the function that writes log lines. */
interface RoarrGlobal {
  ROARR?: { write(line: string): void };
}

/**
 * Redirects all log lines to a non-blocking writer of standard output. A blocking write to a pipe
 * that is not read would stop the whole process, including the requests that it serves. Must be
 * called after Roarr has been loaded.
 */
export function startLogWriter(
  timers: Pick<TimerService, 'scheduleOnce' | 'getWallMs'>,
): LineWriter {
  const writer = createLineWriter({
    writeBytes(bytes, done) {
      write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done);
    },
    scheduleOnce: timers.scheduleOnce,
    formatDroppedLines: (count) =>
      JSON.stringify({
        context: { part: 'logs', omitted: count },
        message: '[logs] lines were left out because standard output was not read',
        time: timers.getWallMs(),
      }),
  });
  const { ROARR: roarr } = globalThis as RoarrGlobal;
  if (roarr !== undefined) roarr.write = writer.addLine;
  return writer;
}
