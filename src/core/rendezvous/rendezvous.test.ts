import { describe, it } from 'node:test';
import { expect } from 'earl';
import { computeRendezvousOrder, selectByRendezvous } from './index.ts';

const CANDIDATES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

describe('computeRendezvousOrder', () => {
  // Guards against daemons that disagree because they list the candidates in different orders.
  it('does not depend on the order of the candidates', () => {
    const reversed = [...CANDIDATES].reverse();
    expect(computeRendezvousOrder('key', reversed)).toEqual(
      computeRendezvousOrder('key', CANDIDATES),
    );
  });

  // Guards against reassigning the keys of other candidates when one candidate changes.
  it('keeps the order of the remaining candidates when one leaves', () => {
    const without = CANDIDATES.filter((candidate) => candidate !== 'c');
    const expected = computeRendezvousOrder('key', CANDIDATES).filter(
      (candidate) => candidate !== 'c',
    );
    expect(computeRendezvousOrder('key', without)).toEqual(expected);
  });

  it('distributes keys over all candidates', () => {
    const keys = Array.from({ length: 400 }, (_, index) => `key-${index}`);
    const first = new Set(keys.flatMap((key) => selectByRendezvous(key, CANDIDATES, 1)));
    expect(first.size).toEqual(CANDIDATES.length);
  });
});
