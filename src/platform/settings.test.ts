import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { DutySettings } from '../core/duties/index.ts';
import { buildGatewaySettingsSchema } from './settings.ts';

const FILE = {
  node: 'front-1',
  ip: '10.0.0.1',
  zone: 'a',
  listen: { front: '10.0.0.1:80', ready: '10.0.0.1:81', directory: '10.0.0.1:82' },
  internal_port_range: [7_000, 7_010],
  platform: { address: '10.0.0.9:90' },
};
const BOUNDS = { lease_ms: 4_000, usage_window_s: 5, usage_late_s: 10 };
const CLOUD = {
  address: '10.0.0.8:91',
  duties: ['usage_report', 'autoscale'],
  duty_per_s: 50,
};
const DUTIES: DutySettings = {
  isUsageReported: true,
  areTargetsOrdered: true,
  callsPerSecond: 50,
  leaseMs: 4_000,
  usageWindowMs: 5_000,
  usageLateMs: 10_000,
};

describe('settings of the duties', () => {
  const cases: { name: string; file: object; expected: DutySettings | undefined }[] = [
    { name: 'all fields', file: { cloud: CLOUD, bounds: BOUNDS }, expected: DUTIES },
    { name: 'no fields, as in earlier deployments', file: {}, expected: undefined },
    {
      name: 'no duties',
      file: { cloud: { ...CLOUD, duties: [] }, bounds: BOUNDS },
      expected: undefined,
    },
    {
      name: 'duties that are not a list',
      file: { cloud: { ...CLOUD, duties: 'usage_report' }, bounds: BOUNDS },
      expected: undefined,
    },
    {
      name: 'an unusable address',
      file: { cloud: { ...CLOUD, address: 7 }, bounds: BOUNDS },
      expected: undefined,
    },
    {
      name: 'a duty of a later release',
      file: { cloud: { ...CLOUD, duties: ['usage_report', 'x'] }, bounds: BOUNDS },
      expected: { ...DUTIES, areTargetsOrdered: false },
    },
    {
      name: 'windows of length 0',
      file: { cloud: CLOUD, bounds: { ...BOUNDS, usage_window_s: 0 } },
      expected: { ...DUTIES, isUsageReported: false, usageWindowMs: 0 },
    },
    {
      name: 'no time at which reports are due',
      file: { cloud: CLOUD, bounds: { ...BOUNDS, usage_late_s: undefined } },
      expected: DUTIES,
    },
    {
      name: 'no bounds',
      file: { cloud: CLOUD },
      expected: {
        ...DUTIES,
        isUsageReported: false,
        leaseMs: 3_000,
        usageWindowMs: 0,
        usageLateMs: 0,
      },
    },
    {
      name: 'a rate of 0',
      file: { cloud: { ...CLOUD, duty_per_s: 0 }, bounds: BOUNDS },
      expected: { ...DUTIES, callsPerSecond: 1 },
    },
  ];
  for (const { name, file, expected } of cases) {
    // Guards against a gateway that does not start, or calls that nobody wants.
    it(`are decoded with ${name}`, () => {
      expect(
        buildGatewaySettingsSchema(() => undefined).parse({ ...FILE, ...file }).duties,
      ).toEqual(expected);
    });
  }
});

describe('settings of the losses to bear', () => {
  const cases = [
    { name: 'none, as in earlier deployments', file: {}, expected: 1 },
    { name: 'no zone', file: { tolerate: { zones: 0 } }, expected: 0 },
    { name: 'two zones', file: { tolerate: { machines: 2, zones: 2 } }, expected: 2 },
    { name: 'a negative number', file: { tolerate: { zones: -1 } }, expected: 1 },
    { name: 'text', file: { tolerate: 'all' }, expected: 1 },
  ];
  for (const { name, file, expected } of cases) {
    it(`are decoded from ${name}`, () => {
      const settings = buildGatewaySettingsSchema(() => undefined).parse({ ...FILE, ...file });
      expect(settings.toleratedZones).toEqual(expected);
    });
  }
});
