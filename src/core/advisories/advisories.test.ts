import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { createFleet } from '../fleet/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { findNextTurnMs } from './find-turn.ts';
import { buildTarget } from '../fleet/fixtures/build-target.ts';
import { createTestAdvisories } from './fixtures/test-advisories.ts';
import { NO_ADVICE, NO_NOTICES } from './index.ts';

const TARGET = buildTarget('i-1');
const LIMITED = { ...NO_ADVICE, requestsPerSecond: 2 };

describe('turns at a target', () => {
  // Guards against a rate that grows with the number of gateways.
  it('come at the rate of the target, for any number of gateways', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 200 }),
        fc.double({ min: 0.25, max: 50, noNaN: true }),
        fc.integer({ min: 0, max: 65_520 }),
        fc.double({ min: 0, max: 1e9, noNaN: true }),
        (count, perSecond, shift, fromMs) => {
          const windowMs = 4_000;
          let turns = 0;
          for (let index = 0; index < count; index++) {
            const input = { perSecond, shift, position: { index, count } };
            let turnMs = findNextTurnMs({ ...input, afterMs: fromMs });
            while (turnMs <= fromMs + windowMs) {
              turns++;
              const nextMs = findNextTurnMs({ ...input, afterMs: turnMs });
              expect(nextMs).toBeGreaterThan(turnMs);
              turnMs = nextMs;
            }
          }
          expect(Math.abs(turns - (perSecond * windowMs) / 1_000)).toBeLessThanOrEqual(1);
        },
      ),
      { seed: 20_261_205, numRuns: 60 },
    );
  });
});

describe('what a target says of its limit', () => {
  const cases = [
    {
      // Guards against a limit that is dropped because responses overtake each other.
      name: 'holds against a response to a request that was sent before',
      steps: [
        { atMs: 1_000, advice: LIMITED, sentMs: 900 },
        { atMs: 1_050, advice: NO_ADVICE, sentMs: 950 },
      ],
      expected: 2,
    },
    {
      name: 'is over with a response to a later request',
      steps: [
        { atMs: 1_000, advice: LIMITED, sentMs: 900 },
        { atMs: 1_200, advice: NO_ADVICE, sentMs: 1_010 },
      ],
      expected: undefined,
    },
    {
      name: 'changes with each response',
      steps: [
        { atMs: 1_000, advice: LIMITED, sentMs: 900 },
        { atMs: 1_001, advice: { ...LIMITED, requestsPerSecond: 0 }, sentMs: 901 },
      ],
      expected: 0,
    },
    {
      // Guards against a target that turns its limit off by a value that nobody can read.
      name: 'holds against one that is not a number',
      steps: [
        { atMs: 1_000, advice: LIMITED, sentMs: 900 },
        { atMs: 1_200, advice: { ...NO_ADVICE, isLimitUnreadable: true }, sentMs: 1_100 },
      ],
      expected: 2,
    },
  ];
  for (const { name, steps, expected } of cases) {
    it(name, () => {
      const timers = createManualTimers();
      const advisories = createTestAdvisories(timers);
      const startMs = timers.getMonotonicMs();
      for (const { atMs, advice, sentMs } of steps) {
        timers.runFor(startMs + atMs - timers.getMonotonicMs());
        advisories.recordAdvice(TARGET, advice, startMs + sentMs);
      }
      expect(advisories.findLimit(TARGET)).toEqual(expected);
    });
  }

  it('does not hold for its next start', () => {
    const advisories = createTestAdvisories(createManualTimers());
    advisories.recordAdvice(TARGET, LIMITED, 0);
    expect(advisories.findLimit(buildTarget('i-1', { startedWallMs: 6 }))).toEqual(undefined);
  });

  // Guards against gateways that never learn that a target takes requests again.
  it('lets a target that takes none be tried now and then', () => {
    const timers = createManualTimers();
    const advisories = createTestAdvisories(timers);
    advisories.recordAdvice(TARGET, { ...LIMITED, requestsPerSecond: 0 }, timers.getMonotonicMs());
    let sends = 0;
    for (let step = 0; step < 200; step++) {
      timers.runFor(100);
      if (advisories.takeTurn(TARGET)) sends++;
    }
    expect(sends).toEqual(5);
  });

  // Guards against a limit that comes back for ever between gateways that repeat it.
  it('ends at all gateways, whoever repeats an older statement', () => {
    const timers = createManualTimers();
    const [first, second] = [createTestAdvisories(timers), createTestAdvisories(timers)];
    timers.runFor(100);
    first.recordAdvice(TARGET, LIMITED, timers.getMonotonicMs());
    const old = first.takeNotices();
    expect(second.receiveNotices(old)).toEqual(true);
    timers.runFor(200);
    second.recordAdvice(TARGET, NO_ADVICE, timers.getMonotonicMs());
    expect(first.receiveNotices(second.takeNotices())).toEqual(true);
    for (const advisories of [first, second]) {
      expect(advisories.receiveNotices(old)).toEqual(false);
      expect(advisories.findLimit(TARGET)).toEqual(undefined);
    }
  });

  it('is forgotten with the target, but not while its entry lapses for a moment', () => {
    const timers = createManualTimers();
    const fleet = createFleet();
    const advisories = createTestAdvisories(timers, {}, fleet);
    fleet.setTarget(TARGET);
    advisories.recordAdvice(TARGET, LIMITED, timers.getMonotonicMs());
    timers.runFor(30_000);
    fleet.removeTarget(TARGET.id);
    timers.runFor(30_000);
    expect(advisories.countLimits()).toEqual(1);
    timers.runFor(30_000);
    expect(advisories.countLimits()).toEqual(0);
  });

  // Guards against packets and memory that grow with what targets and gateways say.
  it('is kept for a bounded number of targets', () => {
    const timers = createManualTimers();
    const advisories = createTestAdvisories(timers);
    timers.runFor(100);
    const names = Array.from({ length: 10_000 }, (_, index) => `i-${index}@5`);
    const statement = { requestsPerSecond: 1, statedMs: timers.getMonotonicMs() };
    advisories.receiveNotices({
      ...NO_NOTICES,
      limits: names.map((targetKey) => ({ targetKey, ...statement })),
    });
    expect(advisories.countLimits()).toEqual(4_096);
    const heard = new Set<string>();
    for (let packet = 0; packet < 200; packet++) {
      const { limits } = advisories.takeNotices();
      expect(limits.length).toBeLessThanOrEqual(64);
      limits.forEach(({ targetKey }) => heard.add(targetKey));
    }
    expect(heard.size).toEqual(4_096);
  });
});
