import type { TimelineEvent } from '../events/index.ts';

const STYLE = `
body { font: 13px/1.4 system-ui, sans-serif; margin: 1rem; color: #222; background: #fff; }
table { border-collapse: collapse; }
th, td { padding: 1px 8px; text-align: left; white-space: nowrap; vertical-align: top; }
th { position: sticky; top: 0; background: #fff; border-bottom: 1px solid #999; }
td.time { font-family: ui-monospace, monospace; color: #555; }
td.lane { border-left: 1px solid #ddd; }
td.lane b { color: #0a5c8a; }
td.attributes { white-space: normal; font-family: ui-monospace, monospace; }
tr:hover td { background: #eef6fb; }
input { font: inherit; width: 30em; padding: 2px 6px; }
`;

const SCRIPT = `
const input = document.querySelector('input');
input.addEventListener('input', () => {
  const words = input.value.toLowerCase().split(/\\s+/);
  document.querySelectorAll('tbody tr').forEach((row) => {
    const text = row.textContent.toLowerCase();
    row.hidden = !words.every((word) => text.includes(word));
  });
});
`;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

function formatHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => ESCAPES[character] ?? character);
}

function renderRow(event: TimelineEvent, processes: readonly string[]): string {
  const time = new Date(event.wallMs).toISOString().slice(0, 23).replace('T', ' ');
  const processCells = processes.map((process) => {
    const text = `<b>${formatHtml(event.part)}</b> ${formatHtml(event.kind)}`;
    return `<td class="lane">${process === event.process ? text : ''}</td>`;
  });
  const attributes = event.attributes.map(({ name, value }) => formatHtml(`${name}=${value}`));
  return `<tr><td class="time">${time}+${event.counter}</td>${processCells.join('')}<td class="attributes">${attributes.join(' ')}</td></tr>`;
}

/** Renders a timeline as one self-contained HTML page with a column for each process. */
export function renderTimelinePage(title: string, events: readonly TimelineEvent[]): string {
  const processes = [...new Set(events.map(({ process }) => process))].sort();
  const columnTitles = ['time (UTC)', ...processes, 'attributes'];
  return [
    '<!doctype html>',
    '<html lang="en">',
    `<head><meta charset="utf-8"><title>${formatHtml(title)}</title><style>${STYLE}</style></head>`,
    `<body><h1>${formatHtml(title)}</h1>`,
    `<p>${events.length} events of ${processes.length} processes. <input placeholder="show only rows that contain all these words"></p>`,
    `<table><thead><tr>${columnTitles.map((columnTitle) => `<th>${formatHtml(columnTitle)}</th>`).join('')}</tr></thead><tbody>`,
    ...events.map((event) => renderRow(event, processes)),
    `</tbody></table><script>${SCRIPT}</script></body></html>`,
    '',
  ].join('\n');
}
