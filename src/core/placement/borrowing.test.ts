import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { computeBorrowEveryMs, createBorrowing } from './borrowing.ts';

/** Time between two tries of a waiting request. */
const TRY_EVERY_MS = 15;
const PLAY_MS = 5_000;

/** Counts the slots that one gateway takes if it always wants one more. */
function countTaken(slots: number, gateways: number, requestsPerSecond = 1_000): number {
  const timers = createManualTimers();
  const borrowing = createBorrowing(timers);
  let taken = 0;
  for (let atMs = 0; atMs < PLAY_MS; atMs += TRY_EVERY_MS) {
    if (borrowing.takeSlot('s/m', { slots, gateways, requestsPerSecond })) taken++;
    timers.runFor(TRY_EVERY_MS);
  }
  return taken;
}

describe('borrowing of slots', () => {
  const cases = [
    // A report takes a quarter of a second, so that there are 20 in the play.
    { name: 'its part of few free slots', slots: 10, gateways: 100, taken: 2 },
    { name: 'its part of as many slots as gateways', slots: 100, gateways: 100, taken: 20 },
    { name: 'nothing more while no slot is free', slots: 0, gateways: 100, taken: 0 },
  ];
  // Guards against gateways that all send to the same free slots before they know of each other.
  for (const { name, slots, gateways, taken } of cases) {
    it(`takes ${name}`, () => {
      const beyond = countTaken(slots, gateways) - taken;
      // One slot may be taken before anything is known, and the last part may be saved.
      expect(beyond >= 0 && beyond <= 1).toEqual(true);
    });
  }

  // Guards against slots that stay free since they belong to gateways without requests.
  it('divides few slots among the gateways that have requests', () => {
    expect(countTaken(10, 100, 20) > 30).toEqual(true);
  });

  it('does not bind a single gateway', () => {
    expect(countTaken(100, 1)).toEqual(Math.ceil(PLAY_MS / TRY_EVERY_MS));
  });

  it('saves slots for several requests at once, but not many', () => {
    const timers = createManualTimers();
    const borrowing = createBorrowing(timers);
    const free = { slots: 100, gateways: 100, requestsPerSecond: 1_000 };
    borrowing.takeSlot('s/m', free);
    timers.runFor(60_000);
    const taken = Array.from({ length: 20 }, () => borrowing.takeSlot('s/m', free));
    expect(taken.filter((isTaken) => isTaken).length).toEqual(4);
  });

  it('tells how often a slot can be taken', () => {
    const free = { slots: 50, gateways: 100, requestsPerSecond: 1_000 };
    expect(computeBorrowEveryMs(free)).toEqual(500);
    expect(computeBorrowEveryMs({ ...free, slots: 0 })).toEqual(Infinity);
  });
});
