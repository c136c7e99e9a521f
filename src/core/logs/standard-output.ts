import { write } from 'node:fs';
import type { TimerService } from '../timers/index.ts';
import type { LineWriter } from './line-writer.ts';
import { createLineWriter } from './line-writer.ts';

const STANDARD_OUTPUT = 1;

/** Where roarr keeps the function that writes its lines. */
interface RoarrGlobal {
  ROARR?: { write(line: string): void };
}

/**
 * Sends all log lines to standard output without blocking: a write to a pipe that nobody reads
 * would stop the whole process, requests included. Call it after roarr has been loaded.
 */
export function startLogWriter(
  timers: Pick<TimerService, 'scheduleOnce' | 'getWallMs'>,
): LineWriter {
  const writer = createLineWriter({
    writeBytes(bytes, done) {
      write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done);
    },
    scheduleOnce: timers.scheduleOnce,
    formatOmission: (count) =>
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
