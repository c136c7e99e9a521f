import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../../src/core/timers/index.ts';
import { runSoak } from '../../src/stand-ins/soak/run-soak.ts';

/** Seeds that have failed, with the cause, and one that never failed. */
const SEEDS = [
  { seed: 1, cause: 'never failed' },
  { seed: 201, cause: 'the proxy delivered later bytes before delayed ones, which TCP never does' },
];

describe('soak of real processes', () => {
  for (const { seed, cause } of SEEDS) {
    it(`breaks no rule under the faults of seed ${seed} (${cause})`, async () => {
      const timers = createTimerService();
      const size = { durationMs: 8_000, gateways: 4, callers: 20, buildFolder: 'dist' };
      const result = await runSoak({ ...size, seed, timers });
      expect(result.violations).toEqual([]);
      // Guards against a system that serves no requests, which would break no rule either.
      expect(result.answered > result.requests / 2).toEqual(true);
    });
  }
});
