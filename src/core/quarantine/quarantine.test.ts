import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { CrashFleet, CrashFleetOptions } from './fixtures/crash-fleet.ts';
import { createCrashFleet } from './fixtures/crash-fleet.ts';
import { MAX_REMEMBERED_PARTS } from './part-history.ts';
import { QuarantineChange } from './types.ts';

const STEP_MS = 20;
const MS_PER_SECOND = 1_000;
/** Bound of the users' rule: three requests later than 3 s after the fifth crash. */
const TOUCH_MS = 3_000;
const CRASHES_BEFORE_BOUND = 5;
const MAX_LATE_SENDS = 3;
const SOUND_PARTS = 40;

interface Traffic {
  soundPerSecond: number;
  deadlyPerSecond: number;
  forMs: number;
  /** Parts of the next deadly prompt. */
  buildDeadly?(fleet: CrashFleet): string[];
  /** Called at each step with the time since the start. */
  act?(fleet: CrashFleet, elapsedMs: number): void;
}

const buildSound = (fleet: CrashFleet): string[] => [
  `5a${Math.floor(fleet.random() * SOUND_PARTS)}`,
];
const buildDeadlyPrompt = (fleet: CrashFleet): string[] => ['dead', ...buildSound(fleet)];

async function playTraffic(fleet: CrashFleet, traffic: Traffic): Promise<void> {
  const { soundPerSecond, deadlyPerSecond, forMs, act } = traffic;
  const buildDeadly = traffic.buildDeadly ?? buildDeadlyPrompt;
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
    act?.(fleet, elapsedMs);
    const customer = `c${Math.floor(fleet.random() * 3)}`;
    if (fleet.random() < (soundPerSecond * STEP_MS) / MS_PER_SECOND) {
      fleet.sendRequest(buildSound(fleet), customer);
    }
    if (fleet.random() < (deadlyPerSecond * STEP_MS) / MS_PER_SECOND) {
      fleet.sendRequest(buildDeadly(fleet), customer);
    }
    await fleet.timers.runForAsync(STEP_MS, STEP_MS);
  }
}

function isDeadly(partIds: readonly string[]): boolean {
  return partIds.some((part) => part.startsWith('dead'));
}

function countLateSends(fleet: CrashFleet): number {
  const fifthMs = fleet.crashesMs[CRASHES_BEFORE_BOUND - 1] ?? Infinity;
  return fleet.requests
    .filter(({ partIds, atMs }) => isDeadly(partIds) && atMs > fifthMs + TOUCH_MS)
    .reduce((sum, { sends }) => sum + sends, 0);
}

/** Returns the share of sound requests sent since a time whose answers began at the first target. */
function computeSoundShare(fleet: CrashFleet, sinceMs: number): number {
  const sound = fleet.requests.filter(
    ({ partIds, atMs }) => !isDeadly(partIds) && atMs >= sinceMs && atMs < sinceMs + 60_000,
  );
  const begun = sound.filter(({ hasBegun, sends }) => hasBegun && sends === 1);
  return begun.length / Math.max(1, sound.length);
}

const listQuarantined = (fleet: CrashFleet): string[] => [
  ...new Set(
    fleet.changes
      .filter(({ change }) => change === QuarantineChange.Added)
      .map(({ entry }) => entry.parts.join('+')),
  ),
];

describe('deadly parts in a fleet of gateways', () => {
  const cases: (CrashFleetOptions & { name: string; traffic: Traffic; seeds?: number[] })[] = [
    {
      name: 'a rare part',
      traffic: { soundPerSecond: 30, deadlyPerSecond: 0.8, forMs: 22_000 },
    },
    {
      name: 'a part of the most frequent requests',
      traffic: { soundPerSecond: 60, deadlyPerSecond: 12, forMs: 22_000 },
    },
    {
      name: 'a part that always comes with the same sound one',
      traffic: {
        soundPerSecond: 30,
        deadlyPerSecond: 1,
        forMs: 22_000,
        buildDeadly: () => ['dead', '5a7'],
      },
    },
    {
      name: 'a part that is the only shared one',
      traffic: {
        soundPerSecond: 30,
        deadlyPerSecond: 1,
        forMs: 22_000,
        buildDeadly: () => ['dead'],
      },
    },
    {
      name: 'two parts at once',
      isDeadly,
      traffic: {
        soundPerSecond: 30,
        deadlyPerSecond: 2,
        forMs: 22_000,
        buildDeadly: (fleet) => [`dead${fleet.random() < 0.5 ? 1 : 2}`, ...buildSound(fleet)],
      },
    },
    {
      name: 'many gateways, each of which sees few crashes',
      gateways: 195,
      targets: 30,
      seeds: [1],
      traffic: { soundPerSecond: 60, deadlyPerSecond: 3, forMs: 8_000 },
    },
    {
      name: 'gateways that all start anew meanwhile',
      traffic: {
        soundPerSecond: 30,
        deadlyPerSecond: 1,
        forMs: 22_000,
        act(fleet, elapsedMs) {
          if (elapsedMs === 8_000) for (let one = 0; one < 4; one++) fleet.restartGateway(one);
          if (elapsedMs === 9_000) for (let one = 4; one < 8; one++) fleet.restartGateway(one);
        },
      },
    },
    {
      name: 'a gateway that is cut off from the others',
      traffic: {
        soundPerSecond: 30,
        deadlyPerSecond: 4,
        forMs: 22_000,
        act(fleet, elapsedMs) {
          if (elapsedMs === 0) fleet.setConnected(3, false);
          if (elapsedMs === 12_000) fleet.setConnected(3, true);
        },
      },
    },
  ];
  for (const { name, traffic, seeds = [1, 2, 3], ...options } of cases) {
    // Guards against crashes that go on because no gateway sees enough of them (BUDGET), and against
    // refusals of sound requests that share other parts or the customer with deadly ones (LOST).
    it(`contains ${name}`, async () => {
      for (const seed of seeds) {
        const fleet = createCrashFleet({ ...options, seed });
        await playTraffic(fleet, { ...traffic, deadlyPerSecond: 0, forMs: 6_000 });
        await playTraffic(fleet, traffic);
        expect(countLateSends(fleet)).toBeLessThanOrEqual(MAX_LATE_SENDS);
        const settledMs = (fleet.crashesMs.at(-1) ?? 0) + TOUCH_MS;
        expect(computeSoundShare(fleet, settledMs)).toBeGreaterThanOrEqual(0.9);
        expect(listQuarantined(fleet).filter((key) => !key.includes('dead'))).toEqual([]);
      }
    });
  }

  // Guards against a fleet that starts into deadly requests: no part is known to be sound yet.
  it('contains a part from the first request on', async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const fleet = createCrashFleet({ seed });
      await playTraffic(fleet, { soundPerSecond: 30, deadlyPerSecond: 2, forMs: 22_000 });
      expect(countLateSends(fleet)).toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect(computeSoundShare(fleet, 8_000)).toBeGreaterThanOrEqual(0.9);
    }
  });

  // Guards against trials without end while such requests still come.
  it('tries a part again ever more rarely', async () => {
    const fleet = createCrashFleet();
    await playTraffic(fleet, { soundPerSecond: 5, deadlyPerSecond: 2, forMs: 1_200_000 });
    expect(countLateSends(fleet)).toBeLessThanOrEqual(MAX_LATE_SENDS);
    const tried = fleet.changes.filter(({ change }) => change === QuarantineChange.Tried);
    expect(tried.length).toBeGreaterThanOrEqual(2);
  });

  // Guards against a part that stays refused after its cause is gone.
  it('releases a part once an answer has begun with it', async () => {
    let isBroken = true;
    const fleet = createCrashFleet({ isDeadly: (parts) => isBroken && parts.includes('dead') });
    await playTraffic(fleet, { soundPerSecond: 20, deadlyPerSecond: 2, forMs: 5_000 });
    isBroken = false;
    await playTraffic(fleet, { soundPerSecond: 20, deadlyPerSecond: 2, forMs: 400_000 });
    // The last requests are still under way.
    const served = fleet.requests.slice(-40, -20).filter(({ partIds }) => isDeadly(partIds));
    expect(served.every(({ hasBegun }) => hasBegun)).toEqual(true);
    for (let gateway = 0; gateway < 8; gateway++) {
      expect(fleet.getQuarantine(gateway).countEntries()).toEqual(0);
    }
  });

  it('contains a part that comes back an hour later', async () => {
    const fleet = createCrashFleet();
    const deadly = { soundPerSecond: 20, deadlyPerSecond: 2, forMs: 10_000 };
    await playTraffic(fleet, deadly);
    const before = fleet.crashesMs.length;
    await fleet.timers.runForAsync(3_600_000, 60_000);
    await playTraffic(fleet, deadly);
    expect(fleet.crashesMs.length - before).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });
});

describe('crashes that no request causes', () => {
  const cases: { name: string; act: NonNullable<Traffic['act']> }[] = [
    {
      name: 'many targets at once',
      act: (fleet, elapsedMs) => {
        if (elapsedMs % 6_000 === 3_000) fleet.crashTargets(0.5);
      },
    },
    {
      name: 'targets that go down and up by turns',
      act: (fleet, elapsedMs) => {
        if (elapsedMs % 700 === 0) fleet.crashTargets(0.15);
      },
    },
  ];
  for (const { name, act } of cases) {
    // Guards against refusing the prompts that happened to wait at a target when it crashed.
    it(`quarantine nothing after the crash of ${name}`, async () => {
      for (const seed of [1, 2, 3]) {
        const fleet = createCrashFleet({ seed, targets: 12 });
        const sound = { soundPerSecond: 60, deadlyPerSecond: 0 };
        await playTraffic(fleet, { ...sound, forMs: 10_000 });
        await playTraffic(fleet, { ...sound, forMs: 60_000, act });
        expect(listQuarantined(fleet)).toEqual([]);
      }
    });
  }
});

describe('parts that callers choose', () => {
  // Guards against a customer that has the part of another one refused: its own deadly parts always
  // come with that part.
  it('keep other customers served that use a part of deadly prompts', async () => {
    const fleet = createCrashFleet({ isDeadly });
    const buildDeadly = (one: CrashFleet): string[] => [`dead${one.requests.length}`, 'victim'];
    for (let count = 0; count < 10; count++) {
      fleet.sendRequest(buildDeadly(fleet), 'attacker');
      await fleet.timers.runForAsync(1_500, STEP_MS);
    }
    const asked = fleet.sendRequest(['victim'], 'owner');
    await fleet.timers.runForAsync(1_000, STEP_MS);
    expect(asked).toLooseEqual({ ...asked, isRefused: false, hasBegun: true });
  });

  // Guards against state and packets that grow with the parts that callers make up.
  it('do not fill memory and packets', async () => {
    const fleet = createCrashFleet({ gateways: 1, isDeadly, targets: 400 });
    for (let index = 0; index < MAX_REMEMBERED_PARTS + 100; index++) {
      fleet.sendRequest([`a${index}`], 'c');
      if (index % 100 === 0) await fleet.timers.runForAsync(200, STEP_MS);
    }
    for (let index = 0; index < 100; index++) {
      const parts = Array.from({ length: 64 }, (_, part) => `b${index}-${part}`);
      fleet.sendRequest([`dead${index}`, ...parts], 'c');
      await fleet.timers.runForAsync(400, STEP_MS);
    }
    const { crashes, begins, notices } = fleet.getQuarantine(0).buildEvidence();
    const crashParts = crashes.flatMap(({ suspects }) => suspects.flatMap(({ parts }) => parts));
    expect(crashParts.length).toBeLessThanOrEqual(192);
    expect(begins.length).toBeLessThanOrEqual(96);
    expect(notices.length).toBeLessThanOrEqual(32);
  });
});
