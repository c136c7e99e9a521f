import { describe, it } from 'node:test';
import { expect } from 'earl';
import type {
  CustomerRoute,
  EngineSpec,
  ServiceSpec,
  ServingConfiguration,
} from '../serving/index.ts';
import { RequestKind } from '../serving/index.ts';
import { diffConfigurations, listFindings, listVersionFindings } from './index.ts';

const route: CustomerRoute = {
  name: 'quote',
  host: 'orders.example',
  pathPrefix: '/quote/',
  kind: RequestKind.Streaming,
  timeoutMs: 8_000,
  latencyObjectiveMs: 400,
  priority: 1,
  gapObjectiveMs: 300,
  services: [{ service: 'assistant', weight: 1 }],
  maxAttempts: 2,
  isAnonymousAllowed: false,
  isResumable: true,
};
const engine: EngineSpec = {
  slots: 12,
  models: [
    { name: 'm', groupSize: 4, engineShareWeight: 1, pace: 1, loadMs: 9_000, stagedJoinMs: 900 },
  ],
  loadsPerSecond: 5,
  maxUnslowedLoads: 7,
  openMs: 300,
};
const service: ServiceSpec = { name: 'assistant', coldRequestsPerSecond: 5, engine };
const configuration: ServingConfiguration = {
  version: 7,
  routes: [route],
  services: [service],
  customers: [{ name: 'orchard', keys: ['k1'] }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

interface FindingCase {
  name: string;
  changed: Partial<ServingConfiguration>;
  expected: string[];
}

const plainRoute = { ...route, kind: RequestKind.NonIdempotent, gapObjectiveMs: undefined };
const withRoute = (changed: Partial<CustomerRoute>): Partial<ServingConfiguration> => ({
  routes: [{ ...route, ...changed }],
});
const withEngine = (changed: Partial<EngineSpec>): Partial<ServingConfiguration> => ({
  services: [{ ...service, engine: { ...engine, ...changed } }],
});
const [model] = engine.models;

const findingCases: FindingCase[] = [
  { name: 'nothing in a sound configuration', changed: {}, expected: [] },
  {
    name: 'a route that another one hides',
    changed: { routes: [route, { ...route, name: 'late' }] },
    expected: ['error never-matches routes/late'],
  },
  {
    name: 'a prefix that matches no path',
    changed: withRoute({ pathPrefix: 'quote' }),
    expected: ['error never-matches routes/quote'],
  },
  {
    name: 'services that all have weight 0',
    changed: withRoute({ services: [{ service: 'assistant', weight: 0 }] }),
    expected: ['error never-matches routes/quote'],
  },
  {
    name: 'an unknown service, and one that no route uses',
    changed: withRoute({ services: [{ service: 'asistant', weight: 1 }] }),
    expected: ['error name routes/quote', 'warning never-matches services/assistant'],
  },
  {
    name: 'two routes of one name',
    changed: { routes: [route, { ...route, pathPrefix: '/other/' }] },
    expected: ['error name routes/quote'],
  },
  {
    name: 'an objective longer than the timeout',
    changed: withRoute({ latencyObjectiveMs: 9_000 }),
    expected: ['error limits routes/quote'],
  },
  {
    name: 'a timeout of 0, which no objective can be within',
    changed: withRoute({ timeoutMs: 0 }),
    expected: [
      'error limits routes/quote',
      'error limits routes/quote',
      'error limits routes/quote',
    ],
  },
  {
    name: 'attempts and a priority that are no whole numbers',
    changed: withRoute({ maxAttempts: 0, priority: 0.5 }),
    expected: ['error limits routes/quote', 'error limits routes/quote'],
  },
  {
    name: 'attempts and resumption that requests of the kind cannot use',
    changed: { routes: [plainRoute] },
    expected: ['warning limits routes/quote', 'warning limits routes/quote'],
  },
  {
    name: 'engines that no group can be formed of',
    changed: withEngine({ slots: 0, models: [{ ...model!, groupSize: 0, engineShareWeight: 0 }] }),
    expected: [
      'error limits services/assistant',
      'error limits services/assistant',
      'error limits services/assistant/models/m',
    ],
  },
  {
    name: 'engines that may load nothing',
    changed: withEngine({ loadsPerSecond: 1 }),
    expected: ['warning limits services/assistant'],
  },
  {
    name: 'bounds on the number of targets that cannot be met',
    changed: { services: [{ ...service, scalingProblem: 'min is above max' }] },
    expected: ['error limits services/assistant'],
  },
  {
    name: 'a key of two customers, and a customer without a key',
    changed: {
      customers: [
        { name: 'orchard', keys: ['k1'] },
        { name: 'nursery', keys: ['k1'] },
        { name: 'depot', keys: [] },
      ],
    },
    expected: ['error never-matches customers/nursery', 'warning never-matches customers/depot'],
  },
  {
    name: 'a configuration that denies every request',
    changed: { customers: [] },
    expected: ['error never-matches customers'],
  },
  {
    name: 'limits for callers that contradict each other',
    changed: { limits: { ...configuration.limits, maxBodyBytes: 0, idleTimeoutMs: 1_000 } },
    expected: ['error limits limits', 'warning limits limits'],
  },
];

describe('the check of a configuration', () => {
  for (const { name, changed, expected } of findingCases) {
    it(`reports ${name}`, () => {
      const findings = listFindings({ ...configuration, ...changed });
      expect(findings.map(({ severity, kind, path }) => `${severity} ${kind} ${path}`)).toEqual(
        expected,
      );
    });
  }

  const versions = [
    { version: 6, expected: 1 },
    { version: 7, expected: 1 },
    { version: 8, expected: 0 },
  ];
  for (const { version, expected } of versions) {
    // Guards against an edit that gateways ignore without a word.
    it(`reports ${expected} problems for version ${version} while 7 is in force`, () => {
      const findings = listVersionFindings(configuration, { ...configuration, version });
      expect(findings.length).toEqual(expected);
    });
  }

  it('names the entries and fields that differ, and no key of a customer', () => {
    const differences = diffConfigurations(configuration, {
      ...configuration,
      routes: [{ ...route, timeoutMs: 6_000, priority: 0 }],
      services: [service, { name: 'booking', coldRequestsPerSecond: 0, engine: undefined }],
      customers: [{ name: 'orchard', keys: ['secret'] }],
    });
    expect(differences.map(({ kind, path, fields }) => `${kind} ${path} ${fields.join()}`)).toEqual(
      [
        'changed routes/quote timeoutMs,priority',
        'changed customers/orchard keys',
        'added services/booking ',
      ],
    );
    expect(JSON.stringify(differences).includes('secret')).toEqual(false);
  });
});
