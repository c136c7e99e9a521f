import { describe, it } from 'node:test';
import { expect } from 'earl';
import { selectCulprits } from './select-culprits.ts';

/** A crash at a time, with the parts of each request whose answer had not begun. */
interface Crash {
  atMs: number;
  suspects: string[][];
}

interface Case {
  name: string;
  crashes: Crash[];
  /** Times at which answers began last. */
  begunMs?: Record<string, number>;
  culprits: string[][];
}

const CASES: Case[] = [
  {
    name: 'nothing after one crash',
    crashes: [{ atMs: 0, suspects: [['dead', 'a']] }],
    culprits: [],
  },
  {
    name: 'the part without answers, though a sound one was at more crashes',
    crashes: [
      { atMs: 0, suspects: [['first', 'dead'], ['first']] },
      { atMs: 300, suspects: [['first', 'dead']] },
      { atMs: 600, suspects: [['first', 'dead'], ['first']] },
    ],
    begunMs: { first: -50 },
    culprits: [['dead']],
  },
  {
    name: 'parts together that cannot be told apart',
    crashes: [
      { atMs: 0, suspects: [['dead', 'a']] },
      { atMs: 300, suspects: [['dead', 'a']] },
    ],
    culprits: [['a', 'dead']],
  },
  {
    name: 'the part that is in different prompts',
    crashes: [
      { atMs: 0, suspects: [['dead', 'a']] },
      { atMs: 300, suspects: [['dead', 'b']] },
    ],
    culprits: [['dead']],
  },
  {
    name: 'nothing while two requests were at the same crashes',
    crashes: [
      { atMs: 0, suspects: [['dead'], ['a']] },
      { atMs: 300, suspects: [['dead'], ['a']] },
    ],
    culprits: [],
  },
  {
    name: 'the other one once an answer has begun with the first',
    crashes: [
      { atMs: 0, suspects: [['dead'], ['a']] },
      { atMs: 300, suspects: [['dead'], ['a']] },
    ],
    begunMs: { a: 500 },
    culprits: [['dead']],
  },
  {
    name: 'two parts that crash different targets',
    crashes: [
      { atMs: 0, suspects: [['dead1']] },
      { atMs: 200, suspects: [['dead2']] },
      { atMs: 400, suspects: [['dead1']] },
      { atMs: 600, suspects: [['dead2']] },
    ],
    culprits: [['dead1'], ['dead2']],
  },
  {
    name: 'nothing if many targets crash at once and few held the part',
    crashes: [
      { atMs: 0, suspects: [['a']] },
      { atMs: 10, suspects: [['a']] },
      { atMs: 20, suspects: [['b']] },
    ],
    culprits: [],
  },
  {
    name: 'a part that was at each of several crashes at once',
    crashes: [
      { atMs: 0, suspects: [['dead', 'a']] },
      { atMs: 10, suspects: [['dead', 'b'], ['c']] },
    ],
    culprits: [['dead']],
  },
];

describe('selectCulprits', () => {
  for (const { name, crashes, begunMs = {}, culprits } of CASES) {
    // Guards against refusing sound prompts, and against deadly ones that stay undetected.
    it(`selects ${name}`, () => {
      const incidents = crashes.map(({ atMs, suspects }, index) => ({
        targetKey: `t${index}`,
        atMs,
        learnedMs: atMs,
        suspects: suspects.map((parts) => ({ customer: 'c', parts })),
      }));
      const selected = selectCulprits(incidents, (part) => begunMs[part]);
      expect(selected.map(({ parts }) => parts)).toEqual(culprits);
    });
  }
});
