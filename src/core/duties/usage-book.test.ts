import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import type { GatewayUsage } from './types.ts';
import { createUsageBook } from './usage-book.ts';

const WINDOW_MS = 5_000;
/** A multiple of the window's length. */
const START_MS = 1_767_225_600_000;
const FIRST = START_MS / WINDOW_MS;
const SEND_PERIOD_MS = 500;

function createBook(vmName = 'a', timers = createManualTimers(START_MS)) {
  const book = createUsageBook({ vmName, incarnation: 1, windowMs: WINDOW_MS, timers });
  book.tick();
  return { book, timers };
}

function buildUsage(requests: number, rest: Partial<GatewayUsage> = {}): GatewayUsage {
  const counts = new Map([['c', requests]]);
  return { vmName: 'b', incarnation: 1, window: FIRST, counts, ...rest };
}

const relayNone = (): boolean => false;
const relayAll = (): boolean => true;

describe('counts of usage', () => {
  const merges: { name: string; usage: GatewayUsage[]; expected: number }[] = [
    { name: 'a count that arrives twice', usage: [buildUsage(3), buildUsage(3)], expected: 3 },
    { name: 'counts in the wrong order', usage: [buildUsage(5), buildUsage(3)], expected: 5 },
    { name: 'a count that grows', usage: [buildUsage(3), buildUsage(5)], expected: 5 },
    {
      name: 'two processes of one VM',
      usage: [buildUsage(3), buildUsage(4, { incarnation: 2 })],
      expected: 7,
    },
    {
      name: 'two gateways',
      usage: [buildUsage(3), buildUsage(4, { vmName: 'd' })],
      expected: 7,
    },
    {
      name: 'another window',
      usage: [buildUsage(3), buildUsage(4, { window: FIRST - 1 })],
      expected: 3,
    },
    {
      name: 'its own counts, which come back',
      usage: [buildUsage(3), buildUsage(9, { vmName: 'a' })],
      expected: 3,
    },
  ];
  for (const { name, usage, expected } of merges) {
    // Guards against requests that are counted twice, or not at all.
    it(`sums each request once with ${name}`, () => {
      const { book } = createBook();
      usage.forEach((one) => book.receiveUsage([one]));
      expect(book.sumCounts(FIRST)?.get('c')).toEqual(expected);
    });
  }

  it('takes nothing of windows that are far away', () => {
    const { book } = createBook();
    const windows = [FIRST - 1_000, FIRST + 2, 0, Number.MAX_SAFE_INTEGER];
    book.receiveUsage(windows.map((window) => buildUsage(3, { window })));
    expect(windows.map((window) => book.sumCounts(window))).toEqual(windows.map(() => undefined));
  });

  it('brings its counts to another gateway, also of the last window', () => {
    const { book, timers } = createBook();
    const other = createBook('other', timers);
    book.recordBegin('c');
    timers.runFor(WINDOW_MS);
    book.tick();
    book.recordBegin('c');
    book.recordBegin('d');
    other.book.receiveUsage(book.takeUsage(relayNone));
    expect([...(other.book.sumCounts(FIRST) ?? [])]).toEqual([['c', 1]]);
    expect([...(other.book.sumCounts(FIRST + 1) ?? [])]).toEqual([
      ['c', 1],
      ['d', 1],
    ]);
  });

  // Guards against a gateway that becomes a hub after others are gone, and reports too little.
  it('relays the counts of lost gateways to other gateways', () => {
    const { book, timers } = createBook();
    const late = createBook('late', timers);
    book.receiveUsage([buildUsage(3)]);
    timers.runFor(2 * WINDOW_MS);
    late.book.receiveUsage(book.takeUsage(relayAll));
    expect(late.book.sumCounts(FIRST)?.get('c')).toEqual(3);
  });

  it('sends no more often than twice a second', () => {
    const { book, timers } = createBook();
    book.recordBegin('c');
    expect(book.takeUsage(relayNone)).toHaveLength(1);
    timers.runFor(SEND_PERIOD_MS / 2);
    expect(book.takeUsage(relayNone)).toEqual([]);
    timers.runFor(SEND_PERIOD_MS / 2);
    expect(book.takeUsage(relayNone)).toHaveLength(1);
  });

  // Guards against packets that the system refuses to send.
  it('sends many long names in turn, in small packets', () => {
    const { book, timers } = createBook();
    const other = createBook('other', timers);
    const customers = Array.from({ length: 400 }, (_, index) => `${'x'.repeat(200)}${index}`);
    customers.forEach(book.recordBegin);
    for (let packets = 0; packets < 8; packets++) {
      const usage = book.takeUsage(relayNone);
      const names = usage.flatMap(({ counts }) => [...counts.keys()]);
      expect(names.join('').length).toBeLessThanOrEqual(12_000);
      other.book.receiveUsage(usage);
      timers.runFor(SEND_PERIOD_MS);
    }
    expect(other.book.sumCounts(FIRST)?.size).toEqual(400);
  });

  it('knows a window without requests, and none from before its start', () => {
    const { book } = createBook();
    expect(book.sumCounts(FIRST)?.size).toEqual(0);
    expect(book.sumCounts(FIRST - 1)).toEqual(undefined);
  });

  // Guards against windows that are reported as empty though nobody was there to count.
  it('does not know the windows that a step of the clock jumps over', () => {
    const timers = createManualTimers(START_MS);
    let stepMs = 0;
    const stepped = { ...timers, getWallMs: () => timers.getWallMs() + stepMs };
    const book = createUsageBook({
      vmName: 'a',
      incarnation: 1,
      windowMs: WINDOW_MS,
      timers: stepped,
    });
    book.tick();
    stepMs = 10 * WINDOW_MS;
    book.tick();
    expect(book.sumCounts(FIRST + 5)).toEqual(undefined);
    expect(book.sumCounts(FIRST + 10)?.size).toEqual(0);
    stepMs = 0;
    book.tick();
    expect(book.sumCounts(FIRST)?.size).toEqual(0);
  });

  it('keeps sums of windows whose sources it has forgotten, and then forgets those', () => {
    const { book, timers } = createBook();
    book.recordBegin('c');
    book.receiveUsage([buildUsage(3)]);
    for (let windows = 0; windows < 10; windows++) {
      timers.runFor(WINDOW_MS);
      book.tick();
    }
    book.receiveUsage([buildUsage(9)]);
    expect(book.sumCounts(FIRST)?.get('c')).toEqual(4);
    for (let windows = 0; windows < 20; windows++) {
      timers.runFor(WINDOW_MS);
      book.tick();
    }
    expect(book.sumCounts(FIRST)).toEqual(undefined);
  });

  it('is bounded when packets make up gateways and customers', () => {
    const { book } = createBook();
    for (let index = 0; index < 4_000; index++) {
      book.receiveUsage([buildUsage(1, { vmName: `vm-${index}` })]);
      const counts = new Map([[`customer-${index}`, 1]]);
      book.receiveUsage([buildUsage(1, { vmName: 'vm-0', counts })]);
    }
    const counts = book.sumCounts(FIRST);
    expect(counts?.get('c')).toEqual(1_500);
    expect(counts?.size).toEqual(2_000);
  });
});
