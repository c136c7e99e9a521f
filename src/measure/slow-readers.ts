/*
 * Measures the cost of 1,000 slow callers: memory in the daemon and KV cache tokens in the engines.
 * Compares the daemon's answer streams with two baselines: buffer everything in the daemon, or stop
 * reading and let the engine keep the stream. Time is simulated, memory use is real. Callers read
 * text at a fixed rate. The baselines buffer only the text, without the framing of an event.
 *
 * node --import tsx src/measure/slow-readers.ts [--json]
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  createUnboundedBufferMode,
  createDaemonMode,
  createBackpressureMode,
} from './slow-reader-modes.ts';
import type { SlowReaderLoad, SlowReaderMode } from './slow-reader-modes.ts';

interface Workload extends SlowReaderLoad {
  name: string;
}

interface Row {
  workload: string;
  mode: string;
  /** Most bytes buffered for one caller, as counted by the strategy, in KiB. */
  maxCallerKib: number;
  /** Largest growth of the process memory since before the callers connected, in MiB. */
  processMib: number;
  /** Most tokens in the KV cache of the engines at a time. */
  maxHeldTokens: number;
  /** Mean number of tokens in the KV cache until all callers have their answers. */
  meanHeldTokens: number;
  prefilledTokens: number;
  generatedTokens: number;
  /** Simulated time until all callers have their answers, in seconds. */
  durationS: number;
}

const MS_PER_SECOND = 1_000;
const BYTES_PER_KIB = 1_024;
const BYTES_PER_MIB = BYTES_PER_KIB * BYTES_PER_KIB;
const SAMPLE_SECONDS = 50;

const COMMON = { callers: 1_000, promptTokens: 500, tokenMs: 25, readBytesPerSecond: 60 };

const WORKLOADS: readonly Workload[] = [
  { ...COMMON, name: 'answers of 4,000 tokens', answerTokens: 4_000 },
  { ...COMMON, name: 'answers of 12,000 tokens', answerTokens: 12_000 },
];

const MODES: Readonly<Record<string, (load: SlowReaderLoad) => SlowReaderMode>> = {
  daemon: createDaemonMode,
  'buffer all': createUnboundedBufferMode,
  'engine holds': createBackpressureMode,
};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function measureMemory(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

async function measureMode(workload: Workload, name: string): Promise<Row> {
  const before = measureMemory();
  const mode = MODES[name]?.(workload);
  if (mode === undefined) throw new Error(`unknown mode "${name}"`);
  const stepsPerSecond = MS_PER_SECOND / workload.tokenMs;
  let maxCaller = 0;
  let maxMemory = 0;
  let maxHeldTokens = 0;
  let heldTokenSeconds = 0;
  let seconds = 0;
  while (!mode.isFinished()) {
    // Idle engines generate nothing; one step still lets cancelled streams continue.
    const steps = mode.getUsage().heldTokens > 0 ? stepsPerSecond : 1;
    for (let step = 0; step < steps; step++) await mode.runStep();
    mode.readForOneSecond();
    const { heldTokens } = mode.getUsage();
    maxHeldTokens = Math.max(maxHeldTokens, heldTokens);
    heldTokenSeconds += heldTokens;
    maxCaller = mode.listHeldBytes().reduce((max, bytes) => Math.max(max, bytes), maxCaller);
    if (seconds % SAMPLE_SECONDS === 0) {
      maxMemory = Math.max(maxMemory, measureMemory() - before);
    }
    seconds++;
  }
  const { prefilledTokens, generatedTokens } = mode.getUsage();
  return {
    workload: workload.name,
    mode: name,
    maxCallerKib: Number((maxCaller / BYTES_PER_KIB).toFixed(1)),
    processMib: Number((maxMemory / BYTES_PER_MIB).toFixed(1)),
    maxHeldTokens,
    meanHeldTokens: Math.round(heldTokenSeconds / seconds),
    prefilledTokens,
    generatedTokens,
    durationS: seconds,
  };
}

const rows: Row[] = [];
for (const workload of WORKLOADS) {
  for (const name of Object.keys(MODES)) rows.push(await measureMode(workload, name));
}
if (process.argv.includes('--json')) {
  process.stdout.write(`${JSON.stringify({ workloads: WORKLOADS, rows }, undefined, 2)}\n`);
} else {
  // eslint-disable-next-line no-console -- The table is the output of this command.
  console.table(rows);
}
