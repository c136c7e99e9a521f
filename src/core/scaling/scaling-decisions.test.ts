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
const FIRST_REDUCTIONS = ['5 c 30 > 13', '9 b 30 > 14', '13 a 30 > 17'];

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
      untilMs: 60 * SECOND,
      getBusyGroups: () => ({ large: 0, small: 0 }),
      expected: [],
      usable: [30, 30, 30],
    },
    {
      // Guards against a successor that takes the trough of a wave for all of it.
      name: 'observe a whole wave and the time of a new engine after another leader',
      untilMs: 50 * SECOND,
      hasPredecessor: true,
      expected: ['36 c 30 > 13', '40 b 30 > 14', '44 a 30 > 17'],
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
      expected: ['5 b 30 > 14', '9 c 30 > 14', '13 a 30 > 18'],
    },
    {
      name: 'do not follow a peak that is over before an engine could boot',
      untilMs: 60 * SECOND,
      getBusyGroups: (nowMs) =>
        nowMs > 40 * SECOND && nowMs < 42 * SECOND ? { large: 3, small: 9 } : getSteadyWork(),
      expected: FIRST_REDUCTIONS,
    },
    {
      name: 'follow a burst up at once in all zones',
      untilMs: 60 * SECOND,
      getBusyGroups: (nowMs) => (nowMs > 40 * SECOND ? { large: 2.5, small: 9 } : getSteadyWork()),
      expected: [...FIRST_REDUCTIONS, '43.5 a 17 > 22', '43.5 b 14 > 21', '43.5 c 13 > 21'],
      usable: [22, 21, 21],
    },
    {
      name: 'order the engines of a lost domain again',
      untilMs: 60 * SECOND,
      lostDomains: { a0: 40 * SECOND },
      expected: [...FIRST_REDUCTIONS, '42.5 a 17 > 17'],
      usable: [17, 14, 13],
    },
    {
      name: 'neither reduce nor extend the others when a zone is lost, and repeat its number seldom',
      untilMs: 60 * SECOND,
      lostDomains: { a0: 40 * SECOND, a1: 40 * SECOND },
      expected: [...FIRST_REDUCTIONS, '42.5 a 17 > 17', '57.5 a 17 > 17'],
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
      untilMs: 30 * SECOND,
      answerOrder: (_decision, nowMs) =>
        nowMs < 8 * SECOND ? OrderAnswer.Failed : OrderAnswer.Accepted,
      expected: ['5 c 30 > 13', '9 c 30 > 13', '13 b 30 > 14', '17 a 30 > 17'],
      usable: [17, 14, 13],
    },
    {
      name: 'take what exists for the result of an order whose response was lost',
      untilMs: 30 * SECOND,
      answerOrder: () => OrderAnswer.ResponseLost,
      expected: FIRST_REDUCTIONS,
      usable: [17, 14, 13],
    },
    {
      name: 'do not repeat a rejected order, and go on with the other zones',
      untilMs: 30 * SECOND,
      answerOrder: ({ zone }) => (zone === 'c' ? OrderAnswer.Rejected : OrderAnswer.Accepted),
      expected: ['5 c 30 > 13', '5.5 b 30 > 14', '9.5 a 30 > 17'],
      usable: [17, 14, 30],
    },
    {
      // Guards against taking groups away whose work no other zone is meant to carry.
      name: 'take one group at a time where no zone may be lost',
      untilMs: 34 * SECOND,
      toleratedZones: 0,
      expected: ['5 a 30 > 28', '9 b 30 > 28', '13 c 30 > 28'],
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
      untilMs: 60 * SECOND,
      getBusyGroups: (nowMs) => (nowMs > 20 * SECOND ? { large: 3, small: 9 } : getSteadyWork()),
      lostDomains: { a0: 50 * SECOND },
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
