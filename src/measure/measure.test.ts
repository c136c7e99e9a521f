import { describe, it } from 'node:test';
import { expect } from 'earl';
import { measureColdTargets } from './measure-cold-targets.ts';
import { measureZoneMove } from './measure-zone-move.ts';
import { Policy } from './policies.ts';

describe('measurements', () => {
  // Guards against a change that gives up the bound of I3, or a baseline that shows nothing.
  it('show no overload of a cold target with shared slots, and some without', async () => {
    const rows = await measureColdTargets();
    const isOver = rows.map(({ overloads }) => Number(overloads) > 0);
    expect(rows.map(({ policy }) => policy)).toEqual(Object.values(Policy));
    expect(isOver).toEqual([false, true, true]);
  });

  // Guards against new work in a zone that is out for more than the 3 s of I4.
  it('show the last new work in a zone within 3 s after it was taken out', async () => {
    const [shared] = await measureZoneMove();
    expect(Number(shared?.lastWorkMs) <= 3_000).toEqual(true);
    expect(shared?.overloads).toEqual(0);
  });
});
