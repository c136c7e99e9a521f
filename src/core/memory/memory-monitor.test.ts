import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { BYTES_PER_MB } from './consts.ts';
import { MEASURE_PERIOD_MS, REPEAT_MS, startMemoryMonitor } from './memory-monitor.ts';

const LIMIT_MB = 350;
const HEAP_LIMIT_MB = 160;

interface Case {
  name: string;
  residentMb: number;
  heapMb: number;
  /** Lines of the first period. */
  lines: string[];
}

const cases: Case[] = [
  { name: 'nothing at half of the limits', residentMb: 175, heapMb: 80, lines: [] },
  {
    name: 'memory near the limit of the VM',
    residentMb: 300,
    heapMb: 60,
    lines: ['memory is short'],
  },
  {
    name: 'a heap that is nearly full',
    residentMb: 200,
    heapMb: 140,
    lines: ['memory is short'],
  },
];

function startTestMonitor(usage: { residentMb: number; heapMb: number }) {
  const timers = createManualTimers();
  const lines: string[] = [];
  const log = (message: string): void => {
    lines.push(message);
  };
  const stop = startMemoryMonitor({
    timers,
    logger: { warn: log, info: log },
    limitBytes: LIMIT_MB * BYTES_PER_MB,
    measure: () => ({
      residentBytes: usage.residentMb * BYTES_PER_MB,
      heapBytes: usage.heapMb * BYTES_PER_MB,
      heapLimitBytes: HEAP_LIMIT_MB * BYTES_PER_MB,
      externalBytes: 0,
    }),
    getHeldCounts: () => ({ inProgress: 3 }),
  });
  return { timers, lines, stop };
}

describe('memory monitor', () => {
  // Guards against a process that is killed for its memory without a line that tells why.
  for (const { name, lines: expected, ...usage } of cases) {
    it(`logs ${name}`, () => {
      const { timers, lines } = startTestMonitor(usage);
      timers.runFor(MEASURE_PERIOD_MS);
      expect(lines).toEqual(expected);
    });
  }

  it('repeats the line while memory is short, and logs the end', () => {
    const usage = { residentMb: 300, heapMb: 60 };
    const { timers, lines, stop } = startTestMonitor(usage);
    timers.runFor(REPEAT_MS + MEASURE_PERIOD_MS);
    expect(lines).toEqual(['memory is short', 'memory is short']);
    usage.residentMb = 100;
    timers.runFor(MEASURE_PERIOD_MS);
    expect(lines.at(-1)).toEqual('memory is not short any more');
    stop();
    usage.residentMb = 300;
    timers.runFor(REPEAT_MS);
    expect(lines.length).toEqual(3);
  });
});
