import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const LIMIT_MS = 115_000;
const STATUS_HELD = 0;
const STATUS_BROKEN = 1;
const STATUS_NOT_RUN = 2;

/** Limits of the operator's configuration, as on the small sites. */
export const CALLER_LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 4_000,
  idle_timeout_ms: 15_000,
};

/**
 * Runs a case, with the disruption if `hasTrouble`: `run` gets a temporary folder, a list for parts that
 * need to be closed and a function that adds a line to `record.txt`. It returns the breaches of the
 * rule. The status of the process is 1 if there are some, 0 if there are none, 2 if the case failed.
 */
export async function runCase(caseFolder, hasTrouble, run) {
  const folder = mkdtempSync(join(tmpdir(), 'review-3-'));
  const startMs = Date.now();
  const lines = [];
  const closers = [];
  const addLine = (text) => {
    lines.push(`${String(Date.now() - startMs).padStart(6)} ms  ${text}`);
  };
  let status = STATUS_NOT_RUN;
  const finish = () => {
    closers.reverse().forEach((close) => close());
    writeFileSync(join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`);
    rmSync(folder, { recursive: true, force: true });
    // eslint-disable-next-line n/no-process-exit -- Sockets of callers may still be open.
    process.exit(status);
  };
  const limit = setTimeout(() => {
    addLine('the case took too long');
    finish();
  }, LIMIT_MS);
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, finish));
  process.on('uncaughtException', (error) => {
    addLine(`the case failed: ${error.stack}`);
    finish();
  });
  try {
    addLine(`the case starts ${hasTrouble ? 'with' : 'without'} the disruption`);
    const breaches = await run({ folder, closers, addLine });
    breaches.forEach((breach) => addLine(`BROKEN: ${breach}`));
    status = breaches.length > 0 ? STATUS_BROKEN : STATUS_HELD;
    addLine(breaches.length > 0 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    addLine(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  finish();
}
