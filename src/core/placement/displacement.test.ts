import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { LineMember } from './displacement.ts';
import { planArrival } from './displacement.ts';
import { compareWaiters } from './line-order.ts';
import type { RequestClass } from './types.ts';

/** One slot becomes free every 100 ms. */
const ROOM = { nowMs: 0, pauseMs: 0, slotEveryMs: 100 };

interface Member extends LineMember {
  name: string;
}

interface MemberInput {
  giveUpMs?: number;
  priority?: number;
  workMs?: number;
  isYielding?: boolean;
  isTold?: boolean;
  route?: string;
}

function buildMember(name: string, input: MemberInput = {}): Member {
  const { giveUpMs = 250, priority = 1, workMs = 1_000, isYielding = false, isTold = true } = input;
  const requestClass: RequestClass = {
    key: 's/m',
    route: input.route ?? 'r',
    customer: 'c',
    isLarge: isYielding,
  };
  return { name, giveUpMs, priority, isYielding, load: { workMs, isTold, requestClass } };
}

interface ArrivalCase {
  name: string;
  line: Member[];
  arriving: Member;
  owedRoute?: string;
  isAdmitted: boolean;
  displaced?: string;
}

const CASES: ArrivalCase[] = [
  {
    name: 'admits a request that finds its slot in time',
    line: [buildMember('first')],
    arriving: buildMember('new'),
    isAdmitted: true,
  },
  {
    name: 'refuses the arriving one if all are alike',
    line: [buildMember('first'), buildMember('second')],
    arriving: buildMember('new'),
    isAdmitted: false,
  },
  {
    name: 'refuses the one that takes most work',
    line: [buildMember('large', { workMs: 3_000 }), buildMember('second')],
    arriving: buildMember('new'),
    isAdmitted: true,
    displaced: 'large',
  },
  {
    name: 'refuses the arriving one if it takes most work',
    line: [buildMember('first'), buildMember('second')],
    arriving: buildMember('new', { workMs: 3_000 }),
    isAdmitted: false,
  },
  // Guards against requests that wait in vain for a small difference.
  {
    name: 'refuses no waiting one that takes little more work',
    line: [buildMember('first', { workMs: 1_300 }), buildMember('second')],
    arriving: buildMember('new'),
    isAdmitted: false,
  },
  {
    name: 'refuses the arriving one if its time is too short for the first slot',
    line: [buildMember('first'), buildMember('less', { priority: 2, workMs: 10, giveUpMs: 900 })],
    arriving: buildMember('new', { giveUpMs: 90 }),
    isAdmitted: false,
  },
  {
    name: 'refuses the less urgent one that an urgent one pushes out of its time',
    line: [buildMember('first'), buildMember('less', { priority: 2, workMs: 10 })],
    arriving: buildMember('new', { workMs: 9_000 }),
    isAdmitted: true,
    displaced: 'less',
  },
  {
    name: 'refuses no urgent one for less urgent ones',
    line: [buildMember('first', { workMs: 9_000 }), buildMember('second', { workMs: 9_000 })],
    arriving: buildMember('new', { priority: 2, workMs: 10 }),
    isAdmitted: false,
  },
  // Guards against a kind or a customer that bears all refusals (starved).
  {
    name: 'refuses no member of a class that got less than its part',
    line: [buildMember('large', { workMs: 3_000, route: 'owed' }), buildMember('second')],
    arriving: buildMember('new'),
    owedRoute: 'owed',
    isAdmitted: false,
  },
  {
    name: 'makes room for a member of a class that got less than its part only at its own priority',
    line: [buildMember('first'), buildMember('second')],
    arriving: buildMember('new', { priority: 2, route: 'owed' }),
    owedRoute: 'owed',
    isAdmitted: false,
  },
  {
    name: 'goes by the time that is left where nothing else is known',
    line: [
      buildMember('first', { workMs: 3_000, isTold: false }),
      buildMember('second', { isTold: false }),
    ],
    arriving: buildMember('new', { workMs: 10, isTold: false }),
    isAdmitted: false,
  },
];

describe('an arrival at a line', () => {
  for (const { name, line, arriving, owedRoute, isAdmitted, displaced } of CASES) {
    it(name, () => {
      const plan = planArrival(line, arriving, ROOM, ({ route }) => route === owedRoute);
      expect({ isAdmitted: plan.isAdmitted, displaced: plan.displaced?.name }).toEqual({
        isAdmitted,
        displaced,
      });
    });
  }

  const member = fc
    .record({
      priority: fc.nat({ max: 2 }),
      giveUpMs: fc.nat({ max: 1_000 }),
      workMs: fc.nat({ max: 5_000 }),
      isYielding: fc.boolean(),
      isTold: fc.boolean(),
    })
    .map((input) => buildMember('any', input));

  // Guards against urgent requests that are refused for less urgent ones.
  it('never displaces a more urgent request, and refuses at most one', () => {
    fc.assert(
      fc.property(fc.array(member, { maxLength: 12 }), member, (members, arriving) => {
        const line = [...members].sort(compareWaiters);
        const { isAdmitted, displaced } = planArrival(line, arriving, ROOM, () => false);
        if (displaced === undefined) return;
        expect(isAdmitted).toEqual(true);
        expect(line.includes(displaced)).toEqual(true);
        expect(displaced.priority >= arriving.priority).toEqual(true);
      }),
    );
  });

  it('is not delayed by the sizes of requests that all tell none', () => {
    fc.assert(
      fc.property(fc.array(member, { maxLength: 12 }), member, (members, arriving) => {
        const untold = [...members, arriving].map((one) => ({
          ...one,
          priority: 1,
          load: one.load && { ...one.load, isTold: false },
        }));
        const last = untold.pop()!;
        const plan = planArrival(untold.sort(compareWaiters), last, ROOM, () => true);
        expect(plan.displaced).toEqual(undefined);
      }),
    );
  });
});
