import type { LoadFigures } from './figures.ts';
import { listPercentiles } from './figures.ts';

const NAME_WIDTH = 18;
const CELL_WIDTH = 10;

/** Formats the statistics as a plain-text report. */
export function formatTextReport(figures: LoadFigures, randomSeed: number): string {
  const formatLine = (name: string, cells: readonly (string | number)[]): string =>
    name.padEnd(NAME_WIDTH) + cells.map((cell) => String(cell).padStart(CELL_WIDTH)).join('');
  const percentiles = listPercentiles().map((percentile) => `p${percentile}`);
  const lines = [
    `random seed ${randomSeed}, ${figures.arrivals} arrivals, ${figures.resumes} resumes`,
    '',
    formatLine('latency in ms', ['count', 'mean', ...percentiles, 'max']),
    ...figures.timings.map(({ timing, count, meanMs, percentilesMs, maxMs }) =>
      formatLine(timing, [count, meanMs, ...percentilesMs, maxMs]),
    ),
    '',
    ...Object.entries(figures.outcomes).map(([outcome, count]) => formatLine(outcome, [count])),
    ...Object.entries(figures.problems).map(([problem, count]) => `${count} x ${problem}`),
  ];
  return `${lines.join('\n')}\n`;
}
