import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildOwnStatus } from './own-status.ts';
import type { GatewayParameters } from './types.ts';

const SETTINGS = {
  vmName: 'vm-1',
  availabilityZone: 'a',
  capacity: 227,
  linkMbps: 14,
  memoryLimitBytes: 200,
} as GatewayParameters;

describe('status of the own memory', () => {
  const cases = [
    { name: 'the VM', residentBytes: 150, heldBytes: 10, memoryShare: 0.75 },
    { name: 'the budget', residentBytes: 100, heldBytes: 45, memoryShare: 0.9 },
    { name: 'both beyond their limits', residentBytes: 300, heldBytes: 60, memoryShare: 1 },
  ];
  for (const { name, residentBytes, heldBytes, memoryShare } of cases) {
    // Guards against callers that are sent to a gateway that is about to fail.
    it(`is that of the scarcest: ${name}`, () => {
      const memory = { residentBytes, heapBytes: 1, heapLimitBytes: 1, externalBytes: 1 };
      const memoryBudget = { getHeldBytes: () => heldBytes, getLimitBytes: () => 50 };
      expect(buildOwnStatus(SETTINGS, { memory, memoryBudget })).toEqual({
        vmName: 'vm-1',
        availabilityZone: 'a',
        capacity: 227,
        linkMbps: 14,
        memoryShare,
      });
    });
  }
});
