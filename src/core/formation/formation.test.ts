import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GroupState } from '../fleet/index.ts';
import type { FakeEngine, FakeEngines } from './fixtures/fake-engines.ts';
import { createFakeEngines } from './fixtures/fake-engines.ts';

const DOMAINS = ['a-d0', 'a-d1', 'b-d0', 'b-d1', 'c-d0', 'c-d1'];
/** A fabric domain with groups of the small model only. */
const SMALL_DOMAIN = 'b-d1';
/** Time until the first plan is made and all its groups are open. */
const START_MS = 5_000;

async function startServing(): Promise<FakeEngines> {
  const fake = createFakeEngines(DOMAINS);
  await fake.timers.runForAsync(START_MS);
  fake.setTraffic(true);
  return fake;
}

function findOpenPair(fake: FakeEngines): { head: FakeEngine; member: FakeEngine } {
  const head = fake.listOpenGroups('small').find(({ domain }) => domain === SMALL_DOMAIN);
  const member = [...fake.engines.values()].find(
    ({ group }) => group?.name === head?.group?.name && group?.rank === 1,
  );
  if (head === undefined || member === undefined) throw new Error('no open group of two members');
  return { head, member };
}

describe('formation of groups', () => {
  // The 60 engines form 7 groups of 4 and 16 groups of 2.
  it('opens groups of both models according to their shares before traffic', async () => {
    const fake = await startServing();
    expect(fake.listOpenGroups('large').length).toEqual(7);
    expect(fake.listOpenGroups('small').length).toEqual(16);
    fake.formation.stop();
  });

  it('keeps all members of a group in one fabric domain', async () => {
    const fake = await startServing();
    const domainsByGroup = new Map<string, Set<string>>();
    for (const { group, domain } of fake.engines.values()) {
      const domains = domainsByGroup.get(group?.name ?? '') ?? new Set();
      domainsByGroup.set(group?.name ?? '', domains.add(domain));
    }
    expect([...domainsByGroup.values()].every(({ size }) => size === 1)).toEqual(true);
    fake.formation.stop();
  });

  // Guards against ordering a second join while entries lag behind orders, which puts an engine
  // into two groups (rule TWO, rodopi-wax trouble-3).
  it('joins no engine twice while its entry does not show the first join', async () => {
    const fake = await startServing();
    const { head, member } = findOpenPair(fake);
    head.group = undefined;
    member.group = undefined;
    fake.setEntryUpdatesEnabled(true);
    fake.setEntryUpdatesEnabled(false);
    await fake.timers.runForAsync(3_000);
    const joins = fake.orders.filter(
      ({ engineId, order, atMs }) =>
        engineId === head.id && order.kind === 'join' && atMs > START_MS,
    );
    expect(joins.length).toEqual(1);
    expect(fake.violations).toEqual([]);
    fake.formation.stop();
  });

  // Guards against reusing members of a group that opened after its last entry was written
  // (rule TWO, trouble-3).
  it('queries a head whose entry shows ready before it reuses the members', async () => {
    const fake = await startServing();
    const { head } = findOpenPair(fake);
    if (head.group === undefined) throw new Error('no group');
    head.group.state = GroupState.Ready;
    fake.setEntryUpdatesEnabled(true);
    fake.setEntryUpdatesEnabled(false);
    head.group.state = GroupState.Open;
    await fake.timers.runForAsync(3_000);
    expect(fake.violations).toEqual([]);
    fake.formation.stop();
  });

  // Guards against reusing members of a head that lost its entry but still serves (rule TWO,
  // rodopi-wax scale-1).
  it('closes a group whose head has no entry before its members join another', async () => {
    const fake = await startServing();
    const first = findOpenPair(fake);
    first.head.hasEntry = false;
    const other = fake
      .listOpenGroups('small')
      .find(({ id, domain }) => domain === first.member.domain && id !== first.head.id);
    if (other?.group === undefined) throw new Error('no other group in the domain');
    other.group.state = GroupState.Broken;
    fake.setEntryUpdatesEnabled(true);
    await fake.timers.runForAsync(2_000);
    expect(fake.violations).toEqual([]);
    const closes = fake.orders.filter(
      ({ engineId, order }) => engineId === first.head.id && order.kind === 'close',
    );
    expect(closes.length).toEqual(1);
    expect(first.head.group?.state).toEqual(GroupState.Ready);
    fake.formation.stop();
  });

  // Guards against losing all large groups one by one, because survivors only form small groups
  // (credit of quote-draft 0.15 on rodopi-wax fresh-f391).
  it('replaces a large group that lost a member by retiring a small one', async () => {
    const fake = await startServing();
    const [head] = fake.listOpenGroups('large');
    const lost = [...fake.engines.values()].find(
      ({ group }) => group?.name === head?.group?.name && group?.rank === 3,
    );
    fake.engines.delete(lost?.id ?? '');
    fake.setEntryUpdatesEnabled(true);
    await fake.timers.runForAsync(3_500);
    expect(fake.listOpenGroups('large').length).toEqual(7);
    expect(fake.violations).toEqual([]);
    fake.formation.stop();
  });

  // Guards against a group that opens after its head lost its entry (rule TWO, temir-feed, 3 of 40
  // days).
  it('never reuses members of a group whose head loses its entry while the group is formed', async () => {
    const fake = await startServing();
    const { head, member } = findOpenPair(fake);
    head.group = undefined;
    member.group = undefined;
    head.model = 'large';
    member.model = 'large';
    head.staged = ['small'];
    member.staged = ['small'];
    fake.setEntryUpdatesEnabled(true);
    await fake.timers.runForAsync(150);
    head.hasEntry = false;
    fake.setEntryUpdatesEnabled(true);
    await fake.timers.runForAsync(4_000);
    expect(fake.violations).toEqual([]);
    expect(fake.engines.get(head.id)?.group?.state === GroupState.Open).toEqual(false);
    fake.formation.stop();
  });

  // Guards against reusing members of a leaving head whose requests stall: it refuses connections
  // before its group breaks (rule TWO, temir-feed trouble-3 605786992272).
  it('does not reuse members of a head that refuses connections until the stall time has passed', async () => {
    const fake = await startServing();
    const { head, member } = findOpenPair(fake);
    // Another group loses a member, so that its head is free to form a group with this one.
    const partner = [...fake.engines.values()].find(
      ({ domain, group }) =>
        domain === head.domain && group?.rank === 1 && group.name !== head.group?.name,
    );
    fake.engines.delete(partner?.id ?? '');
    head.hasEntry = false;
    head.isListening = false;
    fake.setEntryUpdatesEnabled(true);
    await fake.timers.runForAsync(4_500);
    const countJoins = (): number =>
      fake.orders.filter(
        ({ engineId, order, atMs }) =>
          engineId === member.id && order.kind === 'join' && atMs > START_MS,
      ).length;
    expect(countJoins()).toEqual(0);
    expect(fake.violations).toEqual([]);
    // The group of a stalled head breaks after the stall time.
    if (head.group !== undefined) head.group.state = GroupState.Broken;
    await fake.timers.runForAsync(3_000);
    expect(countJoins()).toEqual(1);
    fake.formation.stop();
  });

  // Guards against reusing epochs after late lease renewals (rule TWO, temir-feed, mix
  // 1076434966097).
  it('uses no epoch twice when the lease was temporarily not renewed', async () => {
    const fake = await startServing();
    fake.setTerm(0);
    await fake.timers.runForAsync(500);
    fake.setTerm(1);
    const { member } = findOpenPair(fake);
    fake.engines.delete(member.id);
    const [head] = fake.listOpenGroups('large');
    const lost = [...fake.engines.values()].find(
      ({ group }) => group?.name === head?.group?.name && group?.rank === 3,
    );
    fake.engines.delete(lost?.id ?? '');
    fake.setEntryUpdatesEnabled(true);
    await fake.timers.runForAsync(3_000);
    const epochs = fake.orders.flatMap(({ order }) =>
      order.kind === 'join' ? [`${order.epoch} ${order.members.join(' ')}`] : [],
    );
    const lists = new Set(epochs);
    expect(new Set([...lists].map((text) => text.split(' ')[0])).size).toEqual(lists.size);
    expect(fake.violations).toEqual([]);
    fake.formation.stop();
  });

  it('forms a new group from the survivors of lost groups within a second', async () => {
    const fake = await startServing();
    const pairs = fake
      .listOpenGroups('small')
      .filter(({ domain }) => domain === SMALL_DOMAIN)
      .slice(0, 2);
    for (const head of pairs) {
      const lost = [...fake.engines.values()].find(
        ({ group }) => group?.name === head.group?.name && group?.rank === 1,
      );
      if (lost === undefined) throw new Error('no member');
      fake.engines.delete(lost.id);
    }
    fake.setEntryUpdatesEnabled(true);
    const before = fake.listOpenGroups('small').length;
    await fake.timers.runForAsync(1_000);
    expect(fake.listOpenGroups('small').length).toEqual(before - 1);
    expect(fake.violations).toEqual([]);
    fake.formation.stop();
  });
});
