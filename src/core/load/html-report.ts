import type { LoadStatistics, TimingRow } from './load-statistics.ts';
import { listPercentiles } from './load-statistics.ts';

const BAR_WIDTH = 480;
const BAR_HEIGHT = 18;
const LABEL_WIDTH = 70;

function formatHtml(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;');
}

function renderRow(cells: readonly (string | number)[], tag: 'td' | 'th'): string {
  const inner = cells.map((cell) => `<${tag}>${formatHtml(String(cell))}</${tag}>`).join('');
  return `<tr>${inner}</tr>`;
}

function renderTable(header: readonly string[], rows: readonly (string | number)[][]): string {
  const body = rows.map((row) => renderRow(row, 'td')).join('\n');
  return `<table>\n${renderRow(header, 'th')}\n${body}\n</table>`;
}

function renderBars({ timing, percentilesMs, maxMs }: TimingRow): string {
  const bars = listPercentiles().map((percentile, index) => {
    const valueMs = percentilesMs[index] ?? 0;
    const width = maxMs === 0 ? 0 : Math.round((valueMs / maxMs) * BAR_WIDTH);
    const y = index * BAR_HEIGHT;
    const baseline = y + BAR_HEIGHT - 5;
    return [
      `<text x="0" y="${baseline}">p${percentile}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${y + 2}" width="${width}" height="${BAR_HEIGHT - 4}"/>`,
      `<text x="${LABEL_WIDTH + width + 6}" y="${baseline}">${valueMs} ms</text>`,
    ].join('');
  });
  const width = LABEL_WIDTH + BAR_WIDTH + 120;
  const height = bars.length * BAR_HEIGHT;
  return `<h3>${timing}</h3><svg width="${width}" height="${height}">${bars.join('')}</svg>`;
}

const STYLE = `body{font:14px sans-serif;margin:2em;max-width:60em}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}
td:first-child,th:first-child{text-align:left}rect{fill:#e07a1f}svg text{font-size:12px}`;

/** Renders the statistics as a self-contained HTML page. */
export function renderHtmlReport(statistics: LoadStatistics, scenario: unknown): string {
  const percentiles = listPercentiles().map((percentile) => `p${percentile}`);
  const timings = statistics.timings.map(({ timing, count, meanMs, percentilesMs, maxMs }) => [
    timing,
    count,
    meanMs,
    ...percentilesMs,
    maxMs,
  ]);
  const measured = statistics.timings.filter(({ count }) => count > 0);
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>clementinefork-load</title><style>${STYLE}</style></head>
<body>
<h1>clementinefork-load</h1>
<p>${statistics.arrivals} arrivals, ${statistics.resumes} resumes.</p>
<h2>Latency in ms</h2>
${renderTable(['', 'count', 'mean', ...percentiles, 'max'], timings)}
${measured.map(renderBars).join('\n')}
<h2>Outcomes</h2>
${renderTable(['outcome', 'count'], Object.entries(statistics.outcomes))}
<h2>Problems</h2>
${renderTable(['problem', 'count'], Object.entries(statistics.problems))}
<h2>Scenario</h2>
<pre>${formatHtml(JSON.stringify(scenario, undefined, 2))}</pre>
</body>
</html>
`;
}
