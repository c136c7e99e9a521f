import { describe, it } from 'node:test';
import { expect } from 'earl';
import { computeConnectionLimits } from './compute-limits.ts';

/** Descriptors that the platform reserves for files. */
const FILES = 200;
/** Sockets and pipes that the process, the store and the exchange between gateways need. */
const OWN = 64;

describe('limits of connections', () => {
  for (const maxDescriptors of [1, 300, 1_024, 2_069, 4_100, 8_192]) {
    it(`leaves descriptors for the store and for orders with ${maxDescriptors} in all`, () => {
      const limits = Object.values(computeConnectionLimits(maxDescriptors));
      const sockets = Math.max(100, maxDescriptors - FILES);
      const sum = limits.reduce((total, limit) => total + limit, 0);
      expect(Math.min(...limits)).toBeGreaterThanOrEqual(2);
      expect(sum).toBeLessThanOrEqual(sockets - OWN);
    });
  }
});
