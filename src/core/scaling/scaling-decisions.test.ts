import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ScalingPlay } from './fixtures/scaling-play.ts';
import { OrderAnswer, playScaling } from './fixtures/scaling-play.ts';
import { ScaleReason } from './types.ts';

const SECOND = 1_000;
const getSteadyWork = (): { large: number; small: number } => ({ large: 1.5, small: 5 });
const getDrop = (nowMs: number): { large: number; small: number } =>
  nowMs > 40 * SECOND ? { large: 0.5, small: 1 } : getSteadyWork();
/** Reductions of the engines that are there at the start, one zone after the other. */
const FIRST_REDUCTIONS = ['36 c 30 > 13', '40 b 30 > 14', '44 a 30 > 17'];

interface DecisionCase extends Omit<ScalingPlay, 'getBusyGroups'> {
  name: string;
  getBusyGroups?: ScalingPlay['getBusyGroups'];
  expected: string[];
  usable?: [number, number, number];
}

describe('decisions on the number of engines', () => {
  const cases: DecisionCase[] = [
    {
      name: 'reduce one zone after the other to what steady work needs, and then rest',
      untilMs: 120 * SECOND,
      expected: FIRST_REDUCTIONS,
      usable: [17, 14, 13],
    },
    {
      name: 'order nothing before any work has arrived',
      untilMs: 80 * SECOND,
      getBusyGroups: () => ({ large: 0, small: 0 }),
      expected: [],
      usable: [30, 30, 30],
    },
    {
      // Guards against a new holder that takes the trough of a wave for all of it.
      name: 'observe the time of a new engine and a wave before the first reduction',
      untilMs: 35 * SECOND,
      expected: [],
    },
    {
      name: 'follow less work only after it has been less for as long',
      untilMs: 100 * SECOND,
      getBusyGroups: getDrop,
      expected: [...FIRST_REDUCTIONS, '76 a 17 > 10', '80 b 14 > 9', '84 c 13 > 9'],
      usable: [10, 9, 9],
    },
    {
      name: 'do not follow a wave down',
      untilMs: 200 * SECOND,
      getBusyGroups: (nowMs) => ({
        large: 1.5,
        small: 5 * (1 + 0.2 * Math.sin((nowMs * 2 * Math.PI) / 11_000)),
      }),
      expected: ['36 b 30 > 14', '40 c 30 > 14', '44 a 30 > 18'],
    },
    {
      name: 'do not follow a peak that is over before an engine could boot',
      untilMs: 80 * SECOND,
      getBusyGroups: (nowMs) =>
        nowMs > 60 * SECOND && nowMs < 62 * SECOND ? { large: 3, small: 9 } : getSteadyWork(),
      expected: FIRST_REDUCTIONS,
    },
    {
      name: 'follow a burst up at once in all zones',
      untilMs: 80 * SECOND,
      getBusyGroups: (nowMs) => (nowMs > 60 * SECOND ? { large: 2.5, small: 9 } : getSteadyWork()),
      expected: [...FIRST_REDUCTIONS, '63.5 a 17 > 22', '63.5 b 14 > 21', '63.5 c 13 > 21'],
      usable: [22, 21, 21],
    },
    {
      name: 'order the engines of a lost domain again',
      untilMs: 80 * SECOND,
      lostDomains: { a0: 60 * SECOND },
      expected: [...FIRST_REDUCTIONS, '62.5 a 17 > 17'],
      usable: [17, 14, 13],
    },
    {
      name: 'neither reduce nor extend the others when a zone is lost, and repeat its number seldom',
      untilMs: 80 * SECOND,
      lostDomains: { a0: 60 * SECOND, a1: 60 * SECOND },
      expected: [...FIRST_REDUCTIONS, '62.5 a 17 > 17', '77.5 a 17 > 17'],
      usable: [0, 14, 13],
    },
    {
      name: 'leave all zones as they are while one is evacuated',
      untilMs: 90 * SECOND,
      isZoneEvacuated: (zone, nowMs) => zone === 'a' && nowMs < 60 * SECOND,
      expected: ['60 c 30 > 13', '64 b 30 > 14', '68 a 30 > 17'],
    },
    {
      name: 'send an order again that was not accepted, at least two seconds later',
      untilMs: 60 * SECOND,
      answerOrder: (_decision, nowMs) =>
        nowMs < 38 * SECOND ? OrderAnswer.Failed : OrderAnswer.Accepted,
      expected: ['36 c 30 > 13', '40 c 30 > 13', '44 b 30 > 14', '48 a 30 > 17'],
      usable: [17, 14, 13],
    },
    {
      name: 'take what exists for the result of an order whose response was lost',
      untilMs: 60 * SECOND,
      answerOrder: () => OrderAnswer.ResponseLost,
      expected: FIRST_REDUCTIONS,
      usable: [17, 14, 13],
    },
    {
      name: 'do not repeat a rejected order, and go on with the other zones',
      untilMs: 60 * SECOND,
      answerOrder: ({ zone }) => (zone === 'c' ? OrderAnswer.Rejected : OrderAnswer.Accepted),
      expected: ['36 c 30 > 13', '36.5 b 30 > 14', '40.5 a 30 > 17'],
      usable: [17, 14, 30],
    },
    {
      // Guards against taking groups away whose work no other zone is meant to carry.
      name: 'take one group at a time where no zone may be lost',
      untilMs: 44 * SECOND,
      toleratedZones: 0,
      expected: ['36 a 30 > 28', '40 a 28 > 26', '44 a 26 > 24'],
    },
  ];
  for (const { name, expected, usable, getBusyGroups = getSteadyWork, ...play } of cases) {
    it(name, () => {
      const result = playScaling({ ...play, getBusyGroups });
      const orders = result.orders.map(
        ({ atMs, zone, previousCount, targetCount }) =>
          `${atMs / SECOND} ${zone} ${previousCount} > ${targetCount}`,
      );
      expect(orders).toEqual(expected);
      if (usable !== undefined) expect(Object.values(result.usable)).toEqual(usable);
    });
  }

  it('say why a number is ordered', () => {
    const { orders } = playScaling({
      untilMs: 80 * SECOND,
      getBusyGroups: (nowMs) => (nowMs > 50 * SECOND ? { large: 3, small: 9 } : getSteadyWork()),
      lostDomains: { a0: 70 * SECOND },
    });
    const reasons = new Set(orders.map(({ reason }) => reason));
    expect([...reasons]).toEqual([
      ScaleReason.LessWork,
      ScaleReason.MoreWork,
      ScaleReason.NotReached,
    ]);
  });

  it('never go below the least number of a zone', () => {
    const { fewestUsable } = playScaling({
      untilMs: 200 * SECOND,
      getBusyGroups: (nowMs) => (nowMs < 10 * SECOND ? getSteadyWork() : { large: 0, small: 0 }),
    });
    expect(fewestUsable >= 12).toEqual(true);
  });
});
