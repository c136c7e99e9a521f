import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildAllocation } from '../documents/fixtures/values.ts';
import { buildMember } from '../membership/fixtures/fake-cluster.ts';
import type { Member } from '../rpc/index.ts';
import { MemberState } from '../rpc/index.ts';
import { createFakeFleet } from './fixtures/fake-fleet.ts';
import { computeBackoffMs, LONGEST_BACKOFF_MS, selectRelays } from './index.ts';

const SEED = 12;
const ZONE = 'sofia-a';
const { ALIVE, DEAD, LEAVING, SUSPECT } = MemberState;

/** Builds members of one zone with the given states, and one alive member of another zone. */
function buildMembers(states: readonly MemberState[]): Member[] {
  const members = states.map((state, index) => ({
    ...buildMember(index, 1n),
    availabilityZone: ZONE,
    state,
  }));
  return [...members, { ...buildMember(99, 1n), availabilityZone: 'sofia-b' }];
}

interface SelectionCase {
  title: string;
  states: MemberState[];
  expected: number;
  excluded: number[];
}

const selectionCases: SelectionCase[] = [
  { title: '2 of 4 daemons', states: [ALIVE, ALIVE, ALIVE, ALIVE], expected: 2, excluded: [] },
  { title: 'the only daemon', states: [ALIVE], expected: 1, excluded: [] },
  { title: 'no dead daemon', states: [DEAD, ALIVE, DEAD], expected: 1, excluded: [0, 2] },
  { title: 'no leaving daemon', states: [LEAVING, ALIVE, ALIVE], expected: 2, excluded: [0] },
  { title: 'a leaving daemon if there is no other', states: [LEAVING], expected: 1, excluded: [] },
  { title: 'a suspect daemon', states: [SUSPECT, ALIVE], expected: 2, excluded: [] },
];

describe('selectRelays', () => {
  for (const { title, states, expected, excluded } of selectionCases) {
    it(`selects ${title}`, () => {
      const members = buildMembers(states);
      const relays = selectRelays(members, ZONE);
      expect(relays).toHaveLength(expected);
      const names = excluded.map((index) => members[index]?.name ?? '');
      expect(relays.filter((name) => names.includes(name) || name.endsWith('99'))).toEqual([]);
    });
  }
});

describe('computeBackoffMs', () => {
  const cases = [
    { failures: 1, random: 0, expected: 250 },
    { failures: 1, random: 1, expected: 500 },
    { failures: 3, random: 0.5, expected: 1_500 },
    { failures: 60, random: 1, expected: LONGEST_BACKOFF_MS },
    { failures: 60, random: 0, expected: LONGEST_BACKOFF_MS / 2 },
  ];
  for (const { failures, random, expected } of cases) {
    it(`waits ${expected} ms after ${failures} failures with random ${random}`, () => {
      expect(computeBackoffMs(failures, () => random)).toEqual(expected);
    });
  }
});

describe('createPlatformRelay', () => {
  // Guards against an update of all daemons for every lease renewal.
  it('does not propagate a version that only renews a lease', async () => {
    const fleet = await createFakeFleet({ daemons: 4, seed: SEED });
    let version = 0;
    const writeAllocation = (renewal: number, epoch: number): void => {
      const value = buildAllocation('rack-1', renewal);
      value.lease.epoch = epoch;
      const write = { kind: 'allocation', name: 'rack-1', baseVersion: version, value };
      version = fleet.platform.store.writeObject({ ...write, writeId: `${renewal}` }).version;
    };
    const listEpochs = (): (number | undefined)[] =>
      fleet.daemons.map(({ store }) => store.listAllocations()[0]?.value.lease.epoch);
    const countAccepted = (): number =>
      fleet.readTimeline().filter(({ kind }) => kind === 'document accepted').length;
    writeAllocation(1, 1);
    await fleet.clock.runForAsync(6_000);
    expect(listEpochs()).toEqual([1, 1, 1, 1]);
    const before = countAccepted();
    writeAllocation(2, 1);
    await fleet.clock.runForAsync(2_000);
    expect(countAccepted()).toEqual(before);
    writeAllocation(3, 2);
    await fleet.clock.runForAsync(2_000);
    expect(listEpochs()).toEqual([2, 2, 2, 2]);
    expect(countAccepted()).toEqual(before + 4);
  });

  // Guards against a rate of platform calls that grows with the rate of changes.
  it('limits the rate of watch calls while versions change continuously', async () => {
    const fleet = await createFakeFleet({ daemons: 3, seed: SEED });
    await fleet.clock.runForAsync(6_000);
    const before = fleet.platform.getWatchCalls();
    for (let change = 0; change < 100; change++) {
      fleet.writeConfiguration();
      await fleet.clock.runForAsync(100);
    }
    // 3 relays, 2 calls/s each for 10 s, and one call of each relay for allocations.
    expect(fleet.platform.getWatchCalls() - before <= 66).toEqual(true);
    expect(fleet.violations).toEqual([]);
  });

  // Guards against a watch that continues after the relay was closed.
  it('stops watching when it is closed', async () => {
    const fleet = await createFakeFleet({ daemons: 1, seed: SEED });
    await fleet.clock.runForAsync(6_000);
    const { relay } = fleet.getDaemon(0);
    expect(relay.isActive()).toEqual(true);
    relay.close();
    expect(relay.isActive()).toEqual(false);
    const before = fleet.platform.getWatchCalls();
    await fleet.clock.runForAsync(30_000);
    expect(fleet.platform.getWatchCalls()).toEqual(before);
  });
});
