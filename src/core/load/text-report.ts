import type { LoadStatistics } from './load-statistics.ts';
import { listPercentiles } from './load-statistics.ts';

const NAME_WIDTH = 18;
const CELL_WIDTH = 10;

/** Formats the statistics as a plain-text report. */
export function formatTextReport(statistics: LoadStatistics, randomSeed: number): string {
  const formatLine = (name: string, cells: readonly (string | number)[]): string =>
    name.padEnd(NAME_WIDTH) + cells.map((cell) => String(cell).padStart(CELL_WIDTH)).join('');
  const percentiles = listPercentiles().map((percentile) => `p${percentile}`);
  const lines = [
    `random seed ${randomSeed}, ${statistics.arrivals} arrivals, ${statistics.resumes} resumes`,
    '',
    formatLine('latency in ms', ['count', 'mean', ...percentiles, 'max']),
    ...statistics.timings.map(({ timing, count, meanMs, percentilesMs, maxMs }) =>
      formatLine(timing, [count, meanMs, ...percentilesMs, maxMs]),
    ),
    '',
    ...Object.entries(statistics.outcomes).map(([outcome, count]) => formatLine(outcome, [count])),
    ...Object.entries(statistics.problems).map(([problem, count]) => `${count} x ${problem}`),
  ];
  return `${lines.join('\n')}\n`;
}
