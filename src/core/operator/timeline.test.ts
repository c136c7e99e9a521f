import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { TimelineEvent } from '../events/index.ts';
import type { TimelineFilter } from './timeline-filter.ts';
import { parseTime, selectEvents } from './timeline-filter.ts';
import { renderTimelinePage } from './timeline-html.ts';

const NOW_MS = Date.UTC(2026, 11, 4, 12);

function createEvent(kind: string, wallMs: number, attributes: Record<string, string>) {
  const list = Object.entries(attributes).map(([name, value]) => ({ name, value }));
  const event: TimelineEvent = {
    wallMs,
    counter: 0,
    process: 'entry-1',
    sequence: wallMs,
    part: 'calls',
    kind,
    attributes: list,
  };
  return event;
}

const EVENTS = [
  createEvent('a', 1, { request: 'r-1', target: 'vm-1' }),
  createEvent('b', 2, { request: 'r-2', vm: 'vm-1', group: 'g-1' }),
  createEvent('c', 3, { group: 'g-1' }),
];

interface FilterCase {
  filter: TimelineFilter;
  expected: string[];
}

// Guards against a filter that drops events which belong to a request, group or VM.
const filterCases: FilterCase[] = [
  { filter: {}, expected: ['a', 'b', 'c'] },
  { filter: { request: 'r-1' }, expected: ['a'] },
  { filter: { group: 'g-1' }, expected: ['b', 'c'] },
  { filter: { vm: 'vm-1' }, expected: ['a', 'b'] },
  { filter: { vm: 'entry-1' }, expected: ['a', 'b', 'c'] },
  { filter: { vm: 'vm-1', group: 'g-1' }, expected: ['b'] },
  { filter: { sinceWallMs: 2 }, expected: ['b', 'c'] },
  { filter: { untilWallMs: 2 }, expected: ['a', 'b'] },
  { filter: { request: 'r-3' }, expected: [] },
];

describe('selectEvents', () => {
  for (const { filter, expected } of filterCases) {
    it(`selects ${expected.join(', ') || 'nothing'} by ${JSON.stringify(filter)}`, () => {
      expect(selectEvents(EVENTS, filter).map(({ kind }) => kind)).toEqual(expected);
    });
  }
});

describe('parseTime', () => {
  const cases = [
    { text: '2026-12-04T11:30:00Z', expected: NOW_MS - 30 * 60_000 },
    { text: '90s', expected: NOW_MS - 90_000 },
    { text: '15m', expected: NOW_MS - 15 * 60_000 },
    { text: '2h', expected: NOW_MS - 2 * 3_600_000 },
    { text: '1d', expected: NOW_MS - 24 * 3_600_000 },
  ];
  for (const { text, expected } of cases) {
    it(`reads ${text}`, () => {
      expect(parseTime(text, NOW_MS)).toEqual(expected);
    });
  }

  it('rejects other text and shows the accepted formats', () => {
    expect(() => parseTime('noon', NOW_MS)).toThrow(/an age such as 15m/);
  });
});

describe('renderTimelinePage', () => {
  // Guards against cross-site scripting: attributes can contain text sent by a caller.
  it('escapes attributes', () => {
    const page = renderTimelinePage('x', [createEvent('a', 1, { problem: '<script>&"' })]);
    expect(page.includes('problem=&lt;script&gt;&amp;&quot;')).toEqual(true);
  });

  it('does not reference other files', () => {
    expect(/src=|href=|@import|url\(/.test(renderTimelinePage('x', EVENTS))).toEqual(false);
  });
});
