// Checks the Promela models in models/ exhaustively with spin. The header of a model lists its runs:
// `run: pass MACROS` must satisfy all assertions, and `run: fail MACROS` is a deliberately broken
// variant that must violate one.
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const MODELS_FOLDER = 'models';
const MODEL_SUFFIX = '.pml';
const RUN_LINE = /^ \* run: (?<expected>pass|fail)(?<macros>(?: [A-Z_]+)*)/gm;
const MAX_DEPTH = 1_000_000;
/**
 * Enough for the largest model, 6 million states, without state compression. Compression would need
 * more than a minute.
 */
const MEMORY_LIMIT_MB = 8_000;
const HASH_TABLE_BITS = 24;
const RUN_TIMEOUT_MS = 60_000;
const COMPILE_FLAGS = ['-O2', '-w', '-DSAFETY', `-DMEMLIM=${MEMORY_LIMIT_MB}`];

function readRuns(file) {
  const text = readFileSync(join(MODELS_FOLDER, file), 'utf8');
  return [...text.matchAll(RUN_LINE)].map(({ groups }) => ({
    file,
    expected: groups.expected,
    macros: groups.macros.trim().split(' ').filter(Boolean),
  }));
}

function runCommand(command, parameters, folder) {
  const result = spawnSync(command, parameters, {
    cwd: folder,
    encoding: 'utf8',
    timeout: RUN_TIMEOUT_MS,
  });
  if (result.error !== undefined) throw new Error(`${command}: ${result.error.message}`);
  if (result.status !== 0) throw new Error(`${command}: ${result.stdout}${result.stderr}`);
  return result.stdout;
}

/** Runs spin on one variant and returns the outcome; throws if the search was incomplete. */
function checkModel({ file, macros }) {
  const folder = mkdtempSync(join(tmpdir(), 'models-'));
  try {
    copyFileSync(join(MODELS_FOLDER, file), join(folder, file));
    runCommand('spin', [...macros.map((macro) => `-D${macro}`), '-a', file], folder);
    runCommand('gcc', [...COMPILE_FLAGS, '-o', 'pan', 'pan.c'], folder);
    const output = runCommand('./pan', [`-m${MAX_DEPTH}`, `-w${HASH_TABLE_BITS}`], folder);
    const errors = Number(/errors: (?<count>\d+)/.exec(output)?.groups.count);
    const states = Number(/(?<count>\d+) states, stored/.exec(output)?.groups.count);
    const isCutShort = /max search depth too small|Search not completed/.test(output);
    if (errors === 0 && isCutShort) throw new Error('the search was incomplete');
    if (errors > 0 && !output.includes('assertion violated')) throw new Error(output);
    return { outcome: errors === 0 ? 'pass' : 'fail', states };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

let failures = 0;
for (const run of readdirSync(MODELS_FOLDER)
  .filter((file) => file.endsWith(MODEL_SUFFIX))
  .sort()
  .flatMap(readRuns)) {
  const label = `${run.file} ${run.macros.join(' ')}`.trim();
  const startMs = process.hrtime.bigint();
  const { outcome, states } = checkModel(run);
  const seconds = Number(process.hrtime.bigint() - startMs) / 1e9;
  const isExpected = outcome === run.expected;
  if (!isExpected) failures += 1;
  const verdict = isExpected ? 'ok' : 'UNEXPECTED';
  console.log(`${verdict} ${label}: ${outcome}, ${states} states, ${seconds.toFixed(1)} s`);
}
if (failures > 0) {
  console.error(`${failures} run(s) did not have the outcome that the model's header expects.`);
  process.exitCode = 1;
}
