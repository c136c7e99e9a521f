import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RoutableTarget } from '../probing/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createInFlightTracker, createPlacer, NoTargetReason, selectTarget } from './index.ts';
import type { LocalLoad, TargetRequest } from './types.ts';

const SEED = 20_261_204;

function createRandom(): () => number {
  const generator = xoroshiro128plus(SEED);
  return () => uniformFloat64(generator);
}

interface TargetOptions extends Partial<RoutableTarget> {
  running?: number;
  heldTokens?: number;
  loadAgeMs?: number;
}

function createTarget(id: string, options: TargetOptions = {}): RoutableTarget {
  const { running = 0, heldTokens = 0, ...rest } = options;
  return {
    id,
    vm: `vm-${id}`,
    address: '127.0.0.1',
    port: 1,
    availabilityZone: 'sofia-a',
    group: id,
    generation: 1,
    instanceId: 'i1',
    warm: true,
    load: { running, queued: 0, heldTokens, capacityTokens: 8_000, coldLimit: 1, ageMs: 0 },
    loadAgeMs: 0,
    weight: 1,
    sharingDaemons: 4,
    ...rest,
  };
}

const REQUEST: TargetRequest = {
  tokens: 100,
  availabilityZone: 'sofia-a',
  excludedVms: new Set(),
};

interface Case {
  title: string;
  targets: RoutableTarget[];
  localLoads?: Record<string, LocalLoad>;
  request?: Partial<TargetRequest>;
  /** Ids of all targets that are selected over 50 runs, sorted; or the refusal reason. */
  expected: string[] | NoTargetReason;
}

const cases: Case[] = [
  { title: 'reports a route without targets', targets: [], expected: NoTargetReason.NoneRoutable },
  {
    title: 'never chooses a serving group of weight 0',
    targets: [createTarget('a-0', { weight: 0 }), createTarget('b-0')],
    expected: ['b-0'],
  },
  {
    title: 'uses only the local load when the load report is old',
    targets: [createTarget('a-0', { running: 50, loadAgeMs: 5_000 }), createTarget('a-1')],
    localLoads: { 'vm-a-1': { requests: 1, tokens: 100 } },
    expected: ['a-0'],
  },
  {
    title: 'uses the load of other daemons from a recent report',
    targets: [createTarget('a-0', { running: 50 }), createTarget('a-1')],
    localLoads: { 'vm-a-1': { requests: 1, tokens: 100 } },
    expected: ['a-1'],
  },
  {
    title: 'does not count the local load twice',
    targets: [createTarget('a-0', { running: 3 }), createTarget('a-1', { running: 2 })],
    localLoads: { 'vm-a-0': { requests: 3, tokens: 300 } },
    expected: ['a-1'],
  },
  {
    // Guards against overcommitting the memory of a target, which makes it fail.
    title: 'refuses a request that does not fit in the share of the daemon',
    targets: [createTarget('a-0')],
    localLoads: { 'vm-a-0': { requests: 2, tokens: 1_950 } },
    expected: NoTargetReason.NoCapacity,
  },
  {
    title: 'limits the share to the reported free memory',
    targets: [createTarget('a-0', { heldTokens: 7_950 })],
    expected: NoTargetReason.NoCapacity,
  },
  {
    title: 'refuses a request that is larger than every share',
    targets: [createTarget('a-0')],
    request: { tokens: 2_001 },
    expected: NoTargetReason.TooLarge,
  },
  {
    title: 'excludes VMs on which an attempt failed',
    targets: [createTarget('a-0'), createTarget('a-1')],
    request: { excludedVms: new Set(['vm-a-0']) },
    expected: ['a-1'],
  },
  {
    title: 'uses a VM on which an attempt failed when it is the only routable one',
    targets: [createTarget('a-0')],
    request: { excludedVms: new Set(['vm-a-0']) },
    expected: ['a-0'],
  },
  {
    title: 'prefers the local availability zone',
    targets: [createTarget('a-0', { availabilityZone: 'sofia-b' }), createTarget('a-1')],
    expected: ['a-1'],
  },
  {
    title: 'uses another availability zone when the local one has clearly more load',
    targets: [
      createTarget('a-0', { availabilityZone: 'sofia-b' }),
      createTarget('a-1', { running: 20 }),
    ],
    expected: ['a-0'],
  },
  {
    title: 'prefers a warm target with more load to a cold one',
    targets: [createTarget('a-0', { warm: false }), createTarget('a-1', { running: 30 })],
    expected: ['a-1'],
  },
  {
    title: 'uses a cold target when no warm one has capacity',
    targets: [createTarget('a-0', { warm: false }), createTarget('a-1', { heldTokens: 8_000 })],
    expected: ['a-0'],
  },
];

describe('selectTarget', () => {
  for (const { title, targets, localLoads = {}, request = {}, expected } of cases) {
    it(title, () => {
      const random = createRandom();
      const candidates = targets.map((target) => ({
        target,
        localLoad: localLoads[target.vm] ?? { requests: 0, tokens: 0 },
      }));
      const chosen = new Set<string>();
      for (let run = 0; run < 50; run++) {
        const { target, reason } = selectTarget(candidates, { ...REQUEST, ...request }, random);
        chosen.add(target?.id ?? reason ?? '');
      }
      expect([...chosen].sort()).toEqual([expected].flat());
    });
  }

  it('divides requests between serving groups by weight, regardless of their replica counts', () => {
    const random = createRandom();
    const targets = [
      createTarget('a-0', { weight: 3 }),
      createTarget('b-0'),
      createTarget('b-1'),
      createTarget('b-2'),
    ];
    const candidates = targets.map((target) => ({ target, localLoad: { requests: 0, tokens: 0 } }));
    let count = 0;
    for (let run = 0; run < 4_000; run++) {
      if (selectTarget(candidates, REQUEST, random).target?.id === 'a-0') count++;
    }
    expect(count > 2_880 && count < 3_120).toEqual(true);
  });

  it('sends requests with the same prefix to one target until it exceeds the load limit', () => {
    const random = createRandom();
    const inFlight = createInFlightTracker();
    const targets = ['a-0', 'a-1', 'a-2', 'a-3'].map((id) => createTarget(id));
    const counts = new Map<string, number>();
    for (let run = 0; run < 8; run++) {
      const candidates = targets.map((target) => ({ target, localLoad: inFlight.get(target.vm) }));
      const { target } = selectTarget(candidates, { ...REQUEST, prefixKey: 'key' }, random);
      inFlight.add(target?.vm ?? '', REQUEST.tokens);
      counts.set(target?.id ?? '', (counts.get(target?.id ?? '') ?? 0) + 1);
    }
    const sorted = [...counts.values()].sort((left, right) => right - left);
    expect((sorted[0] ?? 0) <= 4).toEqual(true);
    const { target } = selectTarget(
      targets.map((candidate) => ({ target: candidate, localLoad: { requests: 0, tokens: 0 } })),
      { ...REQUEST, prefixKey: 'key' },
      random,
    );
    expect(counts.get(target?.id ?? '')).toEqual(sorted[0]);
  });

  // Guards against daemons that together overcommit the memory of a target: their load reports are
  // outdated here, and they do not communicate.
  it('never lets the daemons together exceed the memory of a target', () => {
    console.log(`fast-check seed ${SEED}`);
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 8 }),
        fc.array(fc.record({ daemon: fc.nat(7), tokens: fc.integer({ min: 1, max: 1_500 }) })),
        (daemons, requests) => {
          const target = createTarget('a-0', { sharingDaemons: daemons, loadAgeMs: 60_000 });
          const trackers = Array.from({ length: daemons }, () => createInFlightTracker());
          requests.forEach(({ daemon, tokens }) => {
            const tracker = trackers[daemon % daemons];
            if (tracker === undefined) return;
            const candidates = [{ target, localLoad: tracker.get(target.vm) }];
            const choice = selectTarget(candidates, { ...REQUEST, tokens }, () => 0);
            if (choice.target !== undefined) tracker.add(target.vm, tokens);
          });
          const held = trackers.reduce((sum, tracker) => sum + tracker.get(target.vm).tokens, 0);
          return held <= target.load.capacityTokens;
        },
      ),
      { seed: SEED },
    );
  });
});

describe('createPlacer', () => {
  // Guards against requests on a cold target without a slot, and slots held after the request ends.
  it('holds a slot of a cold target until the request is released', async () => {
    const log: string[] = [];
    const inFlight = createInFlightTracker();
    let free = 1;
    const placer = createPlacer({
      availabilityZone: 'sofia-a',
      timers: createManualTimers(),
      inFlight,
      random: () => 0,
      slots: {
        takeSlot: (vm) => {
          const slot = { id: 's1', vm, release: () => log.push('slot released') };
          return Promise.resolve(free-- > 0 ? slot : undefined);
        },
      },
    });
    const request = {
      tokens: 100,
      excludedVms: new Set<string>(),
      listTargets: () => [createTarget('a-0', { warm: false })],
    };
    const first = placer.reserve(request);
    if (typeof first === 'string') throw new Error(first);
    const placement = await placer.acquireSlot(first);
    expect(placement?.target.id).toEqual('a-0');
    const second = placer.reserve(request);
    if (typeof second === 'string') throw new Error(second);
    expect(await placer.acquireSlot(second)).toEqual(undefined);
    expect(placer.reserve(request)).toEqual(NoTargetReason.NoCapacity);
    expect(inFlight.get('vm-a-0').requests).toEqual(1);
    placement?.release();
    placement?.release();
    expect([log, inFlight.countRequests()]).toEqual([['slot released'], 0]);
  });
});
