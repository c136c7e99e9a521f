import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ErrorKind } from '../errors/index.ts';
import { readTextFile } from '../settings/index.ts';
import { parseDeclaration, parseDeclarationFile } from './index.ts';

const EXAMPLE_FILE = 'examples/rodopi.yaml';
const EXAMPLE = readTextFile(EXAMPLE_FILE);

interface Case {
  title: string;
  /** Text in the example and its replacement. */
  replace: [string, string];
  expected: string;
}

const ROUTE = '{ customer: nursery, name: assistant, servingGroups: [assistant-small] }';
const WEIGHT = '{ customer: orchard, route: assistant, servingGroup: assistant-large, weight: 80 }';
const ZONE = '{ name: sofia-c, region: sofia }';

// Guards against applying a declaration with a row that refers to something undeclared.
const cases: Case[] = [
  {
    title: 'an unknown serving group',
    replace: [ROUTE, ROUTE.replace('assistant-small', 'asistant-small')],
    expected:
      'routes[2].servingGroups[0] (line 31): unknown serving group "asistant-small"; did you mean "assistant-small"?',
  },
  {
    title: 'an unknown service',
    replace: ['service: order-app }', 'service: orderapp }'],
    expected: 'routes[1].service (line 30): unknown service "orderapp"; did you mean "order-app"?',
  },
  {
    title: 'an unknown customer of a route',
    replace: [ROUTE, ROUTE.replace('nursery', 'nursary')],
    expected:
      'routes[2].customer (line 31): unknown customer "nursary" without a row in limits; did you mean "nursery"?',
  },
  {
    title: 'an unknown customer that resembles no other',
    replace: [ROUTE, ROUTE.replace('nursery', 'sleds')],
    expected: 'unknown customer "sleds" without a row in limits.',
  },
  {
    title: 'an unknown route of a weight',
    replace: [WEIGHT, WEIGHT.replace('route: assistant', 'route: asistant')],
    expected: 'unknown route "asistant" of customer "orchard"; did you mean "assistant"?',
  },
  {
    title: 'a weight for a group that is not on the route',
    replace: [WEIGHT, WEIGHT.replace('orchard', 'nursery')],
    expected: 'unknown serving group "assistant-large" of route "nursery/assistant"',
  },
  {
    title: 'an unknown availability zone',
    replace: ['port: 9100, availabilityZone: sofia-c', 'port: 9100, availabilityZone: sofia-d'],
    expected: 'services[0].targets[2].availabilityZone (line 26): unknown availability zone',
  },
  {
    title: 'a duplicate serving group',
    replace: ['name: assistant-small\n', 'name: assistant-large\n'],
    expected:
      'servingGroups[1] (line 10): duplicate of servingGroups[0] (servingGroups/assistant-large)',
  },
  {
    title: 'a duplicate target',
    replace: ['vm: order-2', 'vm: order-1'],
    expected: 'services[0].targets[1] (line 25): duplicate target "order-1"',
  },
  {
    title: 'a duplicate availability zone',
    replace: [ZONE, ZONE.replace('sofia-c', 'sofia-b')],
    expected: 'duplicate of availabilityZones[1] (availabilityZones/sofia-b)',
  },
  {
    title: 'a route without targets',
    replace: [ROUTE, '{ customer: nursery, name: assistant }'],
    expected: 'routes[2] (line 31): needs either serving groups or a service',
  },
  {
    title: 'a route whose weights are all 0',
    replace: ['weight: 80 }', 'weight: 0 }'],
    expected: 'routes[0] (line 29): all its serving groups have weight 0',
  },
  {
    title: 'an unknown key',
    replace: ['replicas: 3', 'replica: 3'],
    expected: 'servingGroups[0].replica (line 9): unknown key; did you mean "replicas"?',
  },
  {
    title: 'an unknown section',
    replace: ['limits:', 'limts:'],
    expected: 'limts (line 37): unknown key; did you mean "limits"?',
  },
  {
    title: 'a value of the wrong type',
    replace: ['members: 4', 'members: four'],
    expected: 'servingGroups[0].members (line 8): Invalid input: expected number',
  },
  {
    title: 'a syntax error',
    replace: ['routes:', 'routes: ['],
    expected: 'site.yaml: line',
  },
];

// One weight of the route is already 0, so that setting the other to 0 leaves no usable group.
const TEXT = EXAMPLE.replace('weight: 20 }', 'weight: 0 }');

function getParseError(text: string): unknown {
  try {
    parseDeclaration('site.yaml', text);
  } catch (error) {
    return error;
  }
  return undefined;
}

describe('parseDeclaration', () => {
  it('accepts the example', () => {
    expect(parseDeclaration(EXAMPLE_FILE, EXAMPLE).servingGroups).toHaveLength(2);
  });

  for (const { title, replace, expected } of cases) {
    it(`refuses ${title}`, () => {
      const text = TEXT.replace(...replace);
      expect(text === TEXT).toEqual(false);
      const message = expect.includes(expected);
      const kind = ErrorKind.DeclarationInvalid;
      // toThrow of earl 2.0 accepts any error when it is passed a matcher, so it is not used here.
      expect(getParseError(text)).toEqual(expect.subset({ kind, message }));
    });
  }

  // Guards against reporting only the first problem, so that operators need one run per problem.
  it('reports all problems in one error', () => {
    const text = EXAMPLE.replaceAll('assistant-small', 'assistant-smal').replace(
      'name: assistant-smal\n',
      'name: assistant-small\n',
    );
    const message = String(getParseError(text));
    expect(message.split('did you mean "assistant-small"')).toHaveLength(3);
  });

  // Guards against accepting a configuration that the object API refuses when it is applied.
  it('refuses a declaration that is too large', () => {
    const row = (index: number): string =>
      `  - { customer: customer-${index}, requestsPerSecond: 1, concurrentRequests: 1, tokensPerSecond: 1 }\n`;
    const rows = Array.from({ length: 9_500 }, (_, index) => row(index));
    const error = getParseError(`limits:\n${rows.join('')}`);
    expect(error).toEqual(expect.subset({ kind: ErrorKind.DeclarationTooLarge }));
  });
});

describe('parseDeclarationFile', () => {
  it('returns the version that the file is based on', () => {
    const { baseVersion } = parseDeclarationFile('site.yaml', `baseVersion: 7\n${EXAMPLE}`);
    expect(baseVersion).toEqual(7);
  });
});
