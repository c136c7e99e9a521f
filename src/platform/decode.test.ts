import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RequestKind } from '../core/serving/index.ts';
import { decodeConfiguration } from './decode-configuration.ts';
import { decodeTarget } from './decode-target.ts';

const ROUTE = {
  name: 'r-1',
  host: 'Ficu95.example',
  path_prefix: '/a/',
  kind: 'streaming',
  timeout_ms: 8000,
  target_latency_ms: 400,
  max_attempts: 2,
  stream_resume: true,
  gap_target_ms: 300,
  traffic_split: [
    { service: 's1', weight: 90 },
    { service: 's2', weight: 10 },
  ],
};
const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};
const CONFIGURATION = { version: 7, routes: [ROUTE], services: [{ name: 's1' }], limits: LIMITS };

const ENTRY = {
  service: 's1',
  address: '10.128.0.9:8080',
  zone: 'sofia-a',
  state: 'ready',
  cold_remaining_ms: 250,
  domain: 'd0',
  staged: ['m1'],
  models: [{ name: 'm0', version: 1, adapters: [] }],
  group: { name: 'g1', epoch: 4, rank: 1, state: 'ready' },
  born: 1_700_000_000_000,
};

function decodeEntry(spec: unknown): ReturnType<typeof decodeTarget> {
  return decodeTarget({ name: 'i-1', revision: 3, spec, status: null }, 50);
}

describe('decoding', () => {
  it('decodes a route into the internal types', () => {
    const decoded = decodeConfiguration(CONFIGURATION);
    if ('problem' in decoded) throw new Error(decoded.problem);
    const [route] = decoded.value.routes;
    expect(route?.kind).toEqual(RequestKind.Streaming);
    expect(route?.host).toEqual('ficu95.example');
    expect(route?.services.map(({ weight }) => weight)).toEqual([90, 10]);
    expect(decoded.value.customers).toEqual(undefined);
  });

  const scalings = [
    { stated: undefined, scaling: undefined, hasProblem: false },
    { stated: null, scaling: undefined, hasProblem: false },
    {
      stated: { min: 2, max: 9, boot_s: 8 },
      scaling: { minTargets: 2, maxTargets: 9, bootMs: 8_000 },
      hasProblem: false,
    },
    {
      stated: { min: 0, max: 0 },
      scaling: { minTargets: 0, maxTargets: 0, bootMs: 0 },
      hasProblem: false,
    },
    { stated: { min: 9, max: 2, boot_s: 8 }, scaling: undefined, hasProblem: true },
    { stated: { min: -1, max: 2, boot_s: 8 }, scaling: undefined, hasProblem: true },
    { stated: { min: 1, max: 2, boot_s: -8 }, scaling: undefined, hasProblem: true },
    { stated: { min: 1, max: 1e308, boot_s: 8 }, scaling: undefined, hasProblem: true },
    { stated: { min: '1', max: 2 }, scaling: undefined, hasProblem: true },
    { stated: 'none', scaling: undefined, hasProblem: true },
  ];
  for (const { stated, scaling, hasProblem } of scalings) {
    it(`decodes the bounds on targets ${JSON.stringify(stated)} of a service that stays in use`, () => {
      const services = [{ name: 's1', autoscaling: stated }];
      const decoded = decodeConfiguration({ ...CONFIGURATION, services });
      if ('problem' in decoded) throw new Error(decoded.problem);
      const [service] = decoded.value.services;
      expect(service?.scaling).toEqual(scaling);
      expect(service?.scalingProblem !== undefined).toEqual(hasProblem);
    });
  }

  const ENGINE = { slots: 4, models: [] };
  const stepModels = [
    { name: 'none', fields: {}, stepMs: undefined },
    { name: 'no reading rate', fields: { step_ms: 6 }, stepMs: undefined },
    { name: 'a reading rate of 0', fields: { step_ms: 6, read_per_s: 0 }, stepMs: undefined },
    { name: 'text', fields: { step_ms: '6', read_per_s: 9 }, stepMs: undefined },
    { name: 'figures that are none', fields: { step_ms: -1, read_per_s: 'x' }, stepMs: undefined },
    { name: 'the main durations', fields: { step_ms: 6, read_per_s: 9, stride: 'x' }, stepMs: 6 },
  ];
  for (const { name, fields, stepMs } of stepModels) {
    it(`decodes the durations of steps from ${name}`, () => {
      const services = [{ name: 's1', engine: { ...ENGINE, ...fields } }];
      const decoded = decodeConfiguration({ ...CONFIGURATION, services });
      if ('problem' in decoded) throw new Error(decoded.problem);
      expect(decoded.value.services[0]?.engine?.stepModel?.stepMs).toEqual(stepMs);
    });
  }

  // Guards against a configuration that is refused, or estimates of Infinity, for a figure that is none.
  it('decodes the durations of steps of which some are none', () => {
    const usual = { prompt: 856, answer: -1 };
    const times = { step_ms: 7.8, read_per_s: 45_900, per_seq_ms: 0, pairs_per_m: 'x', usual };
    const services = [{ name: 's1', engine: { ...ENGINE, ...times } }];
    const decoded = decodeConfiguration({ ...CONFIGURATION, services });
    if ('problem' in decoded) throw new Error(decoded.problem);
    expect(decoded.value.services[0]?.engine?.stepModel).toEqual({
      stepMs: 7.8,
      perRequestMs: 0,
      perKiloTokenMs: 0,
      readTokensPerSecond: 45_900,
      millionPairsMs: 0,
      tokensPerEvent: 1,
      usualPromptTokens: 856,
      usualAnswerTokens: 150,
    });
  });

  // Guards against retrying a request that may run only once.
  it('treats an unknown kind as non-idempotent', () => {
    const routes = [{ ...ROUTE, kind: 'new-kind' }];
    const decoded = decodeConfiguration({ ...CONFIGURATION, routes });
    if ('problem' in decoded) throw new Error(decoded.problem);
    expect(decoded.value.routes[0]?.kind).toEqual(RequestKind.NonIdempotent);
  });

  it('reports an invalid configuration', () => {
    expect('problem' in decodeConfiguration({ version: 'x' })).toEqual(true);
  });

  it('decodes an entry with its group', () => {
    const target = decodeEntry(ENTRY);
    expect(target?.group?.epoch).toEqual(4);
    expect(target?.currentModel).toEqual('m0');
    expect(target?.isLeaving).toEqual(false);
  });

  // Entries that another writer has made invalid must not be used as targets.
  const invalidEntries = [
    { name: 'a spec that is not an object', spec: 'bytes' },
    { name: 'a missing field', spec: { ...ENTRY, address: undefined } },
    { name: 'a field of another type', spec: { ...ENTRY, service: 7 } },
    { name: 'an address that is no IP address', spec: { ...ENTRY, address: '300.1.1.1:80' } },
    { name: 'a port that is out of range', spec: { ...ENTRY, address: '10.0.0.1:70000' } },
    { name: 'an unknown state', spec: { ...ENTRY, state: 'paused' } },
    {
      name: 'an unknown state of its group',
      spec: { ...ENTRY, group: { ...ENTRY.group, state: 'x' } },
    },
  ];
  for (const { name, spec } of invalidEntries) {
    it(`refuses an entry with ${name}`, () => {
      expect(decodeEntry(spec)).toEqual(undefined);
    });
  }
});
