// Writes what was sent, answered and run to `record.txt` in the folder of a case.
/* eslint-disable n/no-process-exit */
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Creates the record of the case whose program has the given URL. */
export function createRecord(programUrl) {
  const file = join(fileURLToPath(new URL('.', programUrl)), 'record.txt');
  const stream = createWriteStream(file);
  const startMs = performance.now();
  return {
    getMs: () => performance.now() - startMs,
    add(text) {
      const seconds = ((performance.now() - startMs) / 1000).toFixed(3);
      stream.write(`${seconds.padStart(8)} s  ${text}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        stream.end(resolve);
      }),
  };
}

/** Runs a case and ends with its status: 1 if the rule was broken, 0 if it held, 2 without a run. */
export async function runCase(record, run, cleanUp) {
  let status = 2;
  try {
    const result = await run();
    status = result.isBroken ? 1 : 0;
    record.add(`${result.isBroken ? 'BROKEN' : 'HELD'}: ${result.text}`);
    process.stdout.write(`${result.isBroken ? 'broken' : 'held'}: ${result.text}\n`);
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    process.stdout.write(`the case could not run: ${error.message}\n`);
  }
  await cleanUp();
  await record.close();
  process.exit(status);
}
