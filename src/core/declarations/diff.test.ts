import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readTextFile } from '../settings/index.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';
import type { Declaration, RowChange } from './index.ts';
import { diffDeclarations, parseDeclaration, RowChangeKind } from './index.ts';

const FILE = 'examples/rodopi.yaml';
const BEFORE = parseDeclaration(FILE, readTextFile(FILE));
const ZONE = { name: 'sofia-a', region: 'sofia', state: AvailabilityZoneState.In };

interface Case {
  title: string;
  after: Declaration;
  expected: RowChange[];
}

const NURSERY_LIMIT = BEFORE.limits.find(({ customer }) => customer === 'nursery')!;

// Guards against a diff that hides a change from operators before they apply it.
const cases: Case[] = [
  {
    title: 'nothing when only the order of rows differs',
    after: { ...BEFORE, limits: BEFORE.limits.toReversed() },
    expected: [],
  },
  {
    title: 'a removed row',
    after: { ...BEFORE, limits: BEFORE.limits.filter((row) => row !== NURSERY_LIMIT) },
    expected: [
      { kind: RowChangeKind.Removed, path: 'limits/nursery', before: NURSERY_LIMIT, fields: [] },
    ],
  },
  {
    title: 'an added row',
    after: {
      ...BEFORE,
      availabilityZones: [...BEFORE.availabilityZones, { ...ZONE, name: 'sofia-d' }],
    },
    expected: [
      {
        kind: RowChangeKind.Added,
        path: 'availabilityZones/sofia-d',
        after: { ...ZONE, name: 'sofia-d' },
        fields: [],
      },
    ],
  },
  {
    title: 'the fields of a changed row',
    after: {
      ...BEFORE,
      availabilityZones: BEFORE.availabilityZones.map((row) =>
        row.name === 'sofia-a' ? { ...row, state: AvailabilityZoneState.Out } : row,
      ),
    },
    expected: [
      {
        kind: RowChangeKind.Changed,
        path: 'availabilityZones/sofia-a',
        before: ZONE,
        after: { ...ZONE, state: AvailabilityZoneState.Out },
        fields: [
          { name: 'state', before: AvailabilityZoneState.In, after: AvailabilityZoneState.Out },
        ],
      },
    ],
  },
];

describe('diffDeclarations', () => {
  for (const { title, after, expected } of cases) {
    it(`lists ${title}`, () => {
      expect(diffDeclarations(BEFORE, after)).toEqual(expected);
    });
  }
});
