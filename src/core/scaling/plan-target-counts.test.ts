import { describe, it } from 'node:test';
import { expect } from 'earl';
import { planTargetCounts } from './plan-target-counts.ts';

const MODEL = { engineShareWeight: 0.5, pace: 1, loadMs: 0, stagedJoinMs: 0 };
const LARGE = { ...MODEL, name: 'large', groupSize: 4 };
const SMALL = { ...MODEL, name: 'small', groupSize: 2 };
const ZONE = { isEvacuated: false, domainSizes: [10, 10], leavingEngines: 0 };
const [A, B, C] = ['a', 'b', 'c'].map((name) => ({ ...ZONE, name }));
const ALL = [A!, B!, C!];
const WIDE = { minTargets: 0, maxTargets: 100, bootMs: 0 };

interface PlanCase {
  name: string;
  zones?: typeof ALL;
  models?: (typeof LARGE)[];
  needs: [number, number];
  scaling?: typeof WIDE;
  toleratedZones?: number;
  expected: Record<string, string>;
}

describe('plan of the number of engines', () => {
  const cases: PlanCase[] = [
    {
      // Three groups of each model: one that serves, one that may be lost, and one in repair. 4 + 2
      // engines in two domains of nearly one size are 4 + 3; 2 spares each.
      name: 'has groups of each model for a loss and a repair without work',
      needs: [0, 0],
      expected: { a: '7-9', b: '7-9', c: '7-9' },
    },
    {
      // 3 large groups bear the loss of one, and 6 small ones that of two; one more of each.
      name: 'carries the work after the loss of any zone',
      needs: [1.9, 3.2],
      expected: { a: '12-14', b: '11-13', c: '8-10' },
    },
    {
      name: 'counts an evacuated zone as the lost one',
      zones: [{ ...A!, isEvacuated: true }, B!, C!],
      needs: [1.9, 3.2],
      expected: { b: '8-10', c: '8-10' },
    },
    {
      name: 'counts a zone without engines as the lost one',
      zones: [{ ...A!, domainSizes: [] }, B!, C!],
      needs: [1.9, 3.2],
      expected: { b: '8-10', c: '8-10' },
    },
    {
      name: 'carries the work after the loss of a domain where no zone may be lost',
      zones: [A!],
      needs: [1, 1],
      toleratedZones: 0,
      expected: { a: '19-21' },
    },
    {
      // Three groups of 4 fit into no even split of fewer engines over two domains.
      name: 'gives whole groups room within fabric domains',
      zones: [A!],
      models: [LARGE],
      needs: [1, 0],
      toleratedZones: 0,
      expected: { a: '15-19' },
    },
    {
      name: 'stays within the bounds of each zone',
      needs: [9, 30],
      scaling: { minTargets: 0, maxTargets: 12, bootMs: 0 },
      expected: { a: '12-12', b: '12-12', c: '12-12' },
    },
    {
      name: 'keeps the least number of each zone',
      needs: [0, 0],
      scaling: { minTargets: 9, maxTargets: 12, bootMs: 0 },
      expected: { a: '9-9', b: '9-9', c: '9-9' },
    },
    {
      name: 'has nothing to say while no zone is in use',
      zones: [{ ...A!, isEvacuated: true }],
      needs: [1, 1],
      expected: {},
    },
    { name: 'has nothing to say without models', models: [], needs: [1, 1], expected: {} },
  ];
  for (const { name, zones = ALL, needs, expected, ...rest } of cases) {
    it(name, () => {
      const counts = planTargetCounts({
        models: rest.models ?? [LARGE, SMALL],
        scaling: rest.scaling ?? WIDE,
        zones,
        neededGroups: new Map([
          ['large', needs[0]],
          ['small', needs[1]],
        ]),
        toleratedZones: rest.toleratedZones ?? 1,
      });
      const ranges = new Map<string, string>();
      counts.forEach(({ leastCount, fullCount }, zone) => {
        ranges.set(zone, `${leastCount}-${fullCount}`);
      });
      expect(ranges).toEqual(new Map(Object.entries(expected)));
    });
  }
});
