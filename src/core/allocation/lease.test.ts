import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ErrorKind } from '../errors/index.ts';
import {
  acquireLease,
  createAllocation,
  isLeaseFree,
  isLeaseHeldBy,
  releaseLease,
  renewLease,
  updateObservation,
} from './index.ts';
import { catchError } from '../errors/fixtures/catch-error.ts';

const DURATION_MS = 30_000;
const FIRST = { holder: 'first', vm: 'entry-a', durationMs: DURATION_MS };
const SECOND = { holder: 'second', vm: 'entry-b', durationMs: DURATION_MS };
const HELD = createAllocation('fd-a', FIRST);

interface Case {
  title: string;
  /** Times at which the candidate reads, and whether the holder renewed before the read. */
  reads: { atMs: number; renewed: boolean }[];
  candidate: string;
  released?: boolean;
  decideMs: number;
  expected: boolean;
}

// Guards against a lease that is acquired too early, which gives it two holders, or never.
const cases: Case[] = [
  {
    title: 'waits for the full duration from the first read',
    reads: [{ atMs: 5_000, renewed: false }],
    candidate: 'second',
    decideMs: 34_999,
    expected: false,
  },
  {
    title: 'acquires the lease when the renewal counter did not change for the full duration',
    reads: [
      { atMs: 5_000, renewed: false },
      { atMs: 20_000, renewed: false },
    ],
    candidate: 'second',
    decideMs: 35_000,
    expected: true,
  },
  {
    title: 'restarts the wait after a renewal',
    reads: [
      { atMs: 0, renewed: false },
      { atMs: 29_000, renewed: true },
    ],
    candidate: 'second',
    decideMs: 58_999,
    expected: false,
  },
  {
    title: 'acquires a released lease immediately',
    reads: [{ atMs: 0, renewed: false }],
    candidate: 'second',
    released: true,
    decideMs: 0,
    expected: true,
  },
  {
    title: 'lets a holder that stepped down reacquire its own lease immediately',
    reads: [{ atMs: 0, renewed: false }],
    candidate: 'first',
    decideMs: 0,
    expected: true,
  },
];

describe('isLeaseFree', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      let allocation = HELD;
      let observation = updateObservation(undefined, allocation.lease, -DURATION_MS);
      observation = { ...observation, renewal: -1 };
      for (const { atMs, renewed } of testCase.reads) {
        if (renewed) allocation = renewLease(allocation, 'first', 1);
        observation = updateObservation(observation, allocation.lease, atMs);
      }
      if (testCase.released === true) allocation = releaseLease(allocation, 'first', 1);
      const { candidate, decideMs } = testCase;
      const isFree = isLeaseFree(allocation.lease, observation, candidate, decideMs);
      expect(isFree).toEqual(testCase.expected);
    });
  }
});

describe('acquireLease', () => {
  // Guards against a fencing token that does not increase when the holder changes.
  it('increments epoch and renewal counter and invalidates the lease of the old holder', () => {
    const taken = acquireLease(HELD, SECOND);
    expect(taken.lease).toEqual({ ...SECOND, epoch: 2, renewal: 2, released: false });
    expect(isLeaseHeldBy(taken, 'first', 1)).toEqual(false);
    expect(catchError(() => renewLease(taken, 'first', 1))).toEqual(
      expect.subset({ kind: ErrorKind.LeaseLost }),
    );
  });
});
