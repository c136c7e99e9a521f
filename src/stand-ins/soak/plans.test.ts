import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { planFaults } from './plan-faults.ts';
import { GroupFaultKind, planGroupFaults } from './plan-group-faults.ts';
import { PeerFaultKind, planPeerFaults } from './plan-peer-faults.ts';

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Beginning of the hash of each plan that an issue, a test or KNOWN-RED.txt names by its seed. */
const NAMED_PLANS = [
  { seed: 1, durationMs: 8_000, hash: 'de2fbe4f55a0' },
  { seed: 201, durationMs: 8_000, hash: 'afc0a99cdfaa' },
  { seed: 3, durationMs: 10_000, hash: '85d6411dcbfc' },
  { seed: 310026, durationMs: 8_000, hash: 'ebcbbd4c1bda' },
  { seed: 320031, durationMs: 10_000, hash: 'ec40deb7a5b0' },
  { seed: 320041, durationMs: 10_000, hash: 'dad06b175098' },
];

describe('planFaults', () => {
  // Guards against named seeds that no longer stand for the run in which they failed.
  for (const { seed, durationMs, hash } of NAMED_PLANS) {
    it(`plans the faults of seed ${seed} as before`, () => {
      const plan = JSON.stringify(planFaults(durationMs, createRandom(seed)));
      expect(createHash('sha256').update(plan).digest('hex').slice(0, 12)).toEqual(hash);
    });
  }
});

describe('planGroupFaults', () => {
  // Guards against faults of groups that no run meets.
  it('draws each kind within ten runs, and ends them before the run does', () => {
    const plans = Array.from({ length: 10 }, (_, seed) =>
      planGroupFaults(25_000, createRandom(seed), true),
    );
    const kinds = new Set(plans.flat().map(({ kind }) => kind));
    expect(kinds).toEqual(new Set(Object.values(GroupFaultKind)));
    expect(plans.flat().every(({ atMs, forMs }) => atMs + forMs <= 19_000)).toEqual(true);
  });
});

describe('planPeerFaults', () => {
  // Guards against kinds of slow peers that no run meets.
  it('draws each kind within ten runs', () => {
    const plans = Array.from({ length: 10 }, (_, seed) =>
      planPeerFaults(12_000, createRandom(seed)),
    );
    const kinds = new Set(plans.flat().map(({ kind }) => kind));
    expect(kinds).toEqual(new Set(Object.values(PeerFaultKind)));
  });

  it('lets loads overlap and end before the run does', () => {
    const plan = planPeerFaults(12_000, createRandom(3));
    const isOverlapping = plan.some(({ atMs, forMs }, index) => {
      const next = plan[index + 1];
      return next !== undefined && next.atMs < atMs + forMs;
    });
    expect(isOverlapping).toEqual(true);
    expect(plan.every(({ atMs, forMs }) => atMs + forMs < 12_000)).toEqual(true);
  });
});
