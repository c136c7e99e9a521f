import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Member } from '../rpc/index.ts';
import { MemberSchema, MemberState } from '../rpc/index.ts';
import { AvailabilityZoneState } from '../domain-types/index.ts';
import type { AddressInput } from './index.ts';
import { computeLimitShare, countCustomerDaemons, selectAddresses } from './index.ts';

const SEED = 31;
const ZONES = ['sofia-a', 'sofia-b', 'sofia-c', 'almaty-a'];

function getRegion(zone: string): string {
  return zone.split('-')[0] ?? '';
}

function buildMembers(zones: readonly string[], states: readonly MemberState[] = []): Member[] {
  return zones.map((availabilityZone, index) =>
    create(MemberSchema, {
      name: `entry-${index}`,
      address: `10.0.0.${index + 1}`,
      callerPort: 7100,
      availabilityZone,
      region: getRegion(availabilityZone),
      state: states[index] ?? MemberState.ALIVE,
    }),
  );
}

function buildInput(members: Member[], changes: Partial<AddressInput> = {}): AddressInput {
  return {
    customer: 'orchard',
    members,
    availabilityZones: [],
    requestIdPrefix: 'entry-0.1.',
    ...changes,
  };
}

function listZones(input: AddressInput): string[] {
  return selectAddresses(input).addresses.map((address) => address.availabilityZone);
}

const EIGHT_ZONES = ['a', 'b', 'c', 'a', 'b', 'c', 'a', 'b'].map((letter) => `sofia-${letter}`);

interface Case {
  title: string;
  input: AddressInput;
  /** Checks the zones of the returned addresses, in the order of the addresses. */
  check: (zones: string[]) => boolean;
}

const disabledZone = { name: 'sofia-b', region: 'sofia', state: AvailabilityZoneState.Out };
const { ALIVE, DEAD, LEAVING, SUSPECT } = MemberState;

const cases: Case[] = [
  {
    title: 'returns 4 addresses in at least 2 zones',
    input: buildInput(buildMembers(EIGHT_ZONES)),
    check: (zones) => zones.length === 4 && new Set(zones).size >= 2,
  },
  {
    title: 'spans 2 zones even if one zone holds nearly all daemons',
    input: buildInput(buildMembers([...Array.from({ length: 30 }, () => 'sofia-a'), 'sofia-b'])),
    check: (zones) => zones.length === 4 && new Set(zones).size === 2,
  },
  {
    title: 'lists the nearest zone first',
    input: buildInput(buildMembers(['almaty-a', 'sofia-a', 'sofia-b', 'almaty-a']), {
      availabilityZone: 'sofia-b',
    }),
    check: (zones) => zones.join() === 'sofia-b,sofia-a,almaty-a,almaty-a',
  },
  {
    title: 'leaves out a zone that operators took out of service',
    input: buildInput(buildMembers(EIGHT_ZONES), { availabilityZones: [disabledZone] }),
    check: (zones) => zones.length === 4 && !zones.includes('sofia-b'),
  },
  {
    title: 'returns no address when all zones are out of service',
    input: buildInput(buildMembers(['sofia-b', 'sofia-b']), { availabilityZones: [disabledZone] }),
    check: (zones) => zones.length === 0,
  },
  {
    title: 'leaves out leaving and dead daemons and keeps suspect ones',
    input: buildInput(buildMembers(ZONES, [LEAVING, DEAD, SUSPECT, ALIVE])),
    check: (zones) => [...zones].sort().join() === 'almaty-a,sofia-c',
  },
  {
    title: 'accepts a caller in an unknown zone',
    input: buildInput(buildMembers(EIGHT_ZONES), { availabilityZone: 'unknown' }),
    check: (zones) => zones.length === 4,
  },
];

describe('selectAddresses', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      const zones = listZones(testCase.input);
      expect({ zones, isRight: testCase.check(zones) }).toEqual({ zones, isRight: true });
    });
  }

  it('returns the lifetime and the prefix of request ids', () => {
    const response = selectAddresses(buildInput(buildMembers(EIGHT_ZONES)));
    expect(response.lifetimeMs).toEqual(30_000);
    expect(response.requestIdPrefix).toEqual('entry-0.1.');
  });

  // Guards against daemons that select different daemons for a customer, which would divide its
  // limits wrongly.
  it(`does not depend on the order of the members, seed ${SEED}`, () => {
    const members = buildMembers(EIGHT_ZONES);
    const shuffled = fc.shuffledSubarray(members, { minLength: members.length });
    const property = fc.property(shuffled, fc.string(), (order, customer) => {
      const expected = selectAddresses(buildInput(members, { customer }));
      expect(selectAddresses(buildInput(order, { customer }))).toEqual(expected);
    });
    fc.assert(property, { seed: SEED });
  });

  // Guards against moving all customers to other daemons when one daemon is lost.
  it(`keeps at least 2 of 4 daemons when one is lost, seed ${SEED}`, () => {
    const members = buildMembers(EIGHT_ZONES);
    const property = fc.property(fc.string(), fc.nat(7), (customer, lost) => {
      const before = selectAddresses(buildInput(members, { customer })).addresses;
      const rest = members.filter((_member, index) => index !== lost);
      const after = selectAddresses(buildInput(rest, { customer })).addresses;
      const names = after.map(({ daemon }) => daemon);
      const kept = before.filter(({ daemon }) => names.includes(daemon));
      expect(kept.length >= 2).toEqual(true);
    });
    fc.assert(property, { seed: SEED });
  });
});

describe('computeLimitShare', () => {
  const sizes: { daemons: number; expected: number }[] = [
    { daemons: 8, expected: 25 },
    { daemons: 2, expected: 50 },
    { daemons: 0, expected: 100 },
  ];
  for (const { daemons, expected } of sizes) {
    it(`divides a limit of 100 with ${daemons} daemons`, () => {
      const input = buildInput(buildMembers(EIGHT_ZONES.slice(0, daemons)));
      expect(computeLimitShare(100, input)).toEqual(expected);
      expect(countCustomerDaemons(input)).toEqual(100 / expected);
    });
  }
});
