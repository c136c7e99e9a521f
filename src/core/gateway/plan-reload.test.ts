import { describe, it } from 'node:test';
import { expect } from 'earl';
import { planReload } from './plan-reload.ts';
import type { GatewayParameters } from './types.ts';

const SETTINGS: GatewayParameters = {
  vmName: 'vm-1',
  availabilityZone: 'a',
  maxDescriptors: 4_100,
  capacity: 675,
  linkMbps: 200,
  regionByZone: { a: 'r' },
  callers: { host: '10.0.0.1', port: 80 },
  peerPort: 7_000,
  memoryLimitBytes: 350 * 1024 * 1024,
  leavingBoundMs: 2_000,
  configurationBoundMs: 2_000,
  evacuationBoundMs: 5_000,
  graceMs: 8_000,
  retryRatio: 0.2,
  retrySlack: 100,
  retryWindowMs: 10_000,
  stallMs: 5_000,
  maxDirectoryTtlMs: 5_000,
  isFirstStart: true,
};

describe('reload of the settings', () => {
  const cases: {
    name: string;
    change: Partial<GatewayParameters>;
    applied: string[];
    restart: string[];
  }[] = [
    { name: 'the same file', change: {}, applied: [], restart: [] },
    {
      name: 'a shorter grace period',
      change: { graceMs: 4_000 },
      applied: ['graceMs'],
      restart: [],
    },
    {
      name: 'another address',
      change: { callers: { host: '10.0.0.1', port: 81 } },
      applied: [],
      restart: ['callers'],
    },
    { name: 'a later start', change: { isFirstStart: false }, applied: [], restart: [] },
  ];
  for (const { name, change, applied, restart } of cases) {
    // Guards against mixing old and new addresses when SIGHUP reloads the settings.
    it(`applies ${name} as far as possible without a restart`, () => {
      const reload = planReload(SETTINGS, { ...SETTINGS, ...change });
      expect(reload.appliedNames).toEqual(applied);
      expect(reload.restartNames).toEqual(restart);
      expect(reload.settings.callers).toEqual(SETTINGS.callers);
      expect(reload.settings.graceMs).toEqual(change.graceMs ?? SETTINGS.graceMs);
    });
  }
});
