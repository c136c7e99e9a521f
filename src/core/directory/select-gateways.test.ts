import { describe, it } from 'node:test';
import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { MAX_NAMES, MIN_NAMES } from './consts.ts';
import type { DirectoryInput } from './select-gateways.ts';
import { selectGateways } from './select-gateways.ts';
import type { CallerLocation, DirectoryCandidate } from './types.ts';
import { DirectoryChoice } from './types.ts';

const ZONES = ['a', 'b', 'c'];
const ANSWERS = 1_500;
const SEED = 20_261_206;

/** Returns a repeatable source of numbers from 0 to below 1. */
function createRandom(): () => number {
  const generator = xoroshiro128plus(SEED);
  return () => uniformFloat64(generator);
}

function buildCandidates(
  count: number,
  getChange: (index: number) => Partial<DirectoryCandidate> = () => ({}),
): DirectoryCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    callersAddress: `10.0.0.${index}:80`,
    availabilityZone: ZONES[index % ZONES.length]!,
    capacity: 300,
    linkMbps: 20,
    inProgress: 10,
    memoryShare: 0.4,
    silentMs: 0,
    ...getChange(index),
  }));
}

/** Two large VMs in each zone and 103 small ones, like those of a grown deployment. */
const isLarge = (index: number): boolean => index < 6;
const buildUnlike = (
  getChange: (index: number) => Partial<DirectoryCandidate> = () => ({}),
): DirectoryCandidate[] =>
  buildCandidates(109, (index) => ({
    ...(isLarge(index) ? { capacity: 1_350, linkMbps: 140 } : { capacity: 227, linkMbps: 14 }),
    ...getChange(index),
  }));

const select = (
  candidates: readonly DirectoryCandidate[],
  change: Partial<DirectoryInput> = {},
): ReturnType<typeof selectGateways> =>
  selectGateways({
    candidates,
    caller: { availabilityZone: 'a' },
    getRegion: () => 'r',
    random: createRandom(),
    ...change,
  });

/** Plays answers to callers; returns the share of the callers that each gateway gets. */
function playAnswers(
  candidates: readonly DirectoryCandidate[],
  callers: readonly CallerLocation[] = ZONES.map((availabilityZone) => ({ availabilityZone })),
  getRegion: DirectoryInput['getRegion'] = () => 'r',
): number[] {
  const random = createRandom();
  const shares = new Map<string, number>();
  for (let answer = 0; answer < ANSWERS; answer++) {
    const caller = callers[answer % callers.length]!;
    const { callersAddresses } = select(candidates, { caller, random, getRegion });
    for (const address of callersAddresses) {
      const share = 1 / callersAddresses.length / ANSWERS;
      shares.set(address, (shares.get(address) ?? 0) + share);
    }
  }
  return candidates.map(({ callersAddress }) => shares.get(callersAddress) ?? 0);
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe('names for callers', () => {
  const plainCases: { name: string; candidates: DirectoryCandidate[] }[] = [
    { name: '8 gateways alike', candidates: buildCandidates(8) },
    { name: 'as many alike as an answer holds', candidates: buildCandidates(MAX_NAMES) },
    {
      name: 'gateways alike of which one has much to do',
      candidates: buildCandidates(8, (index) => (index === 0 ? { inProgress: 500 } : {})),
    },
    {
      name: 'gateways of an earlier release, which do not state their links',
      candidates: buildCandidates(8, (index) => (index > 0 ? { linkMbps: 0 } : {})),
    },
    { name: 'no gateway', candidates: [] },
  ];
  for (const { name, candidates } of plainCases) {
    // Guards against another answer where gateways are alike and all fit in.
    it(`are all, in the order in which they are known, with ${name}`, () => {
      expect(select(candidates)).toEqual({
        callersAddresses: candidates.map(({ callersAddress }) => callersAddress),
        choice: DirectoryChoice.All,
      });
    });
  }

  const countCases: { name: string; candidates: DirectoryCandidate[]; least: number }[] = [
    { name: 'more alike than an answer holds', candidates: buildCandidates(70), least: MIN_NAMES },
    { name: '109 unlike gateways', candidates: buildUnlike(), least: MIN_NAMES },
    { name: '10 unlike gateways', candidates: buildUnlike().slice(0, 10), least: 10 },
    {
      name: 'one that is a thousand times larger',
      candidates: buildCandidates(40, (index) => (index === 0 ? { capacity: 300_000 } : {})),
      least: MIN_NAMES,
    },
    {
      name: 'most of which are not heard',
      candidates: buildUnlike((index) => (index > 10 ? { silentMs: 4_000 } : {})),
      least: MIN_NAMES,
    },
    {
      name: 'all of which bear too much',
      candidates: buildUnlike(() => ({ memoryShare: 1, inProgress: 10_000 })),
      least: MIN_NAMES,
    },
  ];
  for (const { name, candidates, least } of countCases) {
    // Guards against callers that lose all their addresses when some gateways are lost.
    it(`are enough and each once, with ${name}`, () => {
      for (const availabilityZone of [...ZONES, 'unknown', undefined]) {
        const { callersAddresses, choice } = select(candidates, { caller: { availabilityZone } });
        expect(choice).toEqual(DirectoryChoice.Weighted);
        expect(new Set(callersAddresses).size).toEqual(callersAddresses.length);
        expect(callersAddresses.length >= least).toEqual(true);
        expect(callersAddresses.length <= MAX_NAMES).toEqual(true);
      }
    });
  }

  // Guards against large and small VMs that get the same load.
  it('give large VMs more callers, and each small one some', () => {
    const shares = playAnswers(buildUnlike());
    const large = computeMean(shares.filter((_, index) => isLarge(index)));
    const small = shares.filter((_, index) => !isLarge(index));
    expect(large > 2.5 * computeMean(small)).toEqual(true);
    expect(large < 8 * computeMean(small)).toEqual(true);
    expect(Math.min(...small) > computeMean(small) / 2).toEqual(true);
  });

  const burdenCases: { name: string; burden: Partial<DirectoryCandidate> }[] = [
    { name: 'is short of memory', burden: { memoryShare: 0.97 } },
    { name: 'has ten times the requests of the others', burden: { inProgress: 100 } },
    { name: 'reports figures out of range', burden: { inProgress: 2 ** 32 - 1, memoryShare: 1 } },
  ];
  for (const { name, burden } of burdenCases) {
    // Guards against a gateway that gets callers until it fails, and one that gets none any more.
    it(`hold a gateway less often, but at times, that ${name}`, () => {
      const [burdened = 0, ...others] = playAnswers(
        buildCandidates(90, (index) => (index === 0 ? burden : {})),
      );
      expect(burdened < computeMean(others) / 2).toEqual(true);
      expect(burdened > computeMean(others) / 40).toEqual(true);
    });
  }

  // Guards against callers that all go to other zones, and callers without enough addresses there.
  it('are in the zone of the caller by half', () => {
    const candidates = buildUnlike();
    const nearAddresses = new Set(
      candidates.flatMap((one) => (one.availabilityZone === 'b' ? [one.callersAddress] : [])),
    );
    const random = createRandom();
    for (let answer = 0; answer < 200; answer++) {
      const caller = { availabilityZone: 'b' };
      const { callersAddresses } = select(candidates, { caller, random });
      const near = callersAddresses.filter((address) => nearAddresses.has(address)).length;
      expect(near >= 0.45 * callersAddresses.length).toEqual(true);
      expect(near <= 0.55 * callersAddresses.length).toEqual(true);
    }
  });

  // Guards against a zone whose gateways fail one after the other under its own callers.
  it('are in other zones more often while those of the zone bear too much', () => {
    const getShareOfZone = (inProgress: number): number => {
      const candidates = buildUnlike((index) => (index % 3 === 0 ? { inProgress } : {}));
      const shares = playAnswers(candidates, [{ availabilityZone: 'a' }]);
      return shares.reduce((sum, share, index) => sum + (index % 3 === 0 ? share : 0), 0);
    };
    expect(getShareOfZone(10) > 0.45).toEqual(true);
    expect(getShareOfZone(1_000) < 0.4).toEqual(true);
  });

  const unknownCases: CallerLocation[] = [
    {},
    { availabilityZone: 'elsewhere' },
    { availabilityZone: 'elsewhere', region: 'nowhere' },
    { availabilityZone: '__proto__' },
  ];
  for (const caller of unknownCases) {
    // Guards against callers that get no answer, or a worse one, for what they say of themselves.
    it(`are spread over all zones for a caller at ${JSON.stringify(caller)}`, () => {
      const shares = playAnswers(buildUnlike(), [caller], (zone) =>
        ZONES.includes(zone) ? 'r' : undefined,
      );
      for (let zone = 0; zone < ZONES.length; zone++) {
        const share = shares.reduce((sum, one, index) => sum + (index % 3 === zone ? one : 0), 0);
        expect(Math.abs(share - 1 / 3) < 0.05).toEqual(true);
      }
    });
  }

  // Guards against callers that are sent to another region while their own has gateways.
  it('are seldom in another region', () => {
    const shares = playAnswers(buildUnlike(), [{ availabilityZone: 'a' }], (zone) =>
      zone === 'c' ? 'far' : 'near',
    );
    const far = shares.reduce((sum, share, index) => sum + (index % 3 === 2 ? share : 0), 0);
    expect(far < 0.05).toEqual(true);
  });

  // Guards against names of gateways that have just lost power.
  it('leave out gateways that are not heard while others are', () => {
    const shares = playAnswers(
      buildUnlike((index) => (index % 2 === 1 ? { silentMs: 3_500 } : {})),
    );
    expect(shares.filter((_, index) => index % 2 === 1).every((share) => share === 0)).toEqual(
      true,
    );
  });
});
