import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createClock } from '../events/index.ts';
import { MemberState } from '../rpc/index.ts';
import { createTimerService } from '../timers/index.ts';
import { buildMember } from './fixtures/fake-cluster.ts';
import { createSeededRandom } from './fixtures/seeded-random.ts';
import type { Membership, MembershipAddress } from './index.ts';
import { createMembership, openDatagramSocket } from './index.ts';

const ADDRESS = '127.0.0.1';
const JOIN_LIMIT_MS = 5_000;

const timers = createTimerService();
const started: Membership[] = [];

afterEach(async () => {
  for (const membership of started.splice(0)) await membership.close();
});

async function startDaemon(index: number, seeds: MembershipAddress[]): Promise<MembershipAddress> {
  const socket = await openDatagramSocket(ADDRESS, 0);
  const self = buildMember(index, BigInt(index + 1));
  const membership = createMembership({
    self: { ...self, address: ADDRESS, membershipPort: socket.port },
    seeds,
    socket,
    timers,
    random: createSeededRandom(index),
    clock: createClock(timers),
    getDocumentsDigest: () => 0n,
    onDigestDiffers: () => undefined,
  });
  started.push(membership);
  return { address: ADDRESS, port: socket.port };
}

function hasFullView(): boolean {
  return started.every((membership) => membership.listLiveMembers().length === started.length);
}

describe('createMembership over UDP', () => {
  // Guards against packets that pass through the fake network but not through UDP sockets.
  it('joins through a seed and tells the others when it closes', async () => {
    const seed = await startDaemon(0, []);
    await startDaemon(1, [seed]);
    await startDaemon(2, [seed]);
    const limitMs = timers.getMonotonicMs() + JOIN_LIMIT_MS;
    while (!hasFullView() && timers.getMonotonicMs() < limitMs) await timers.waitFor(20);
    expect(hasFullView()).toEqual(true);
    const last = started.pop();
    await last?.close();
    await timers.waitFor(200);
    const states = started.map((membership) => membership.findMember('entry-02')?.state);
    expect(states).toEqual([MemberState.DEAD, MemberState.DEAD]);
  });
});
