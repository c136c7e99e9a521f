import { describe, it } from 'node:test';
import { expect } from 'earl';
import { measureColdTargets } from './measure-cold-targets.ts';
import { measureZoneMove } from './measure-zone-move.ts';
import { Policy } from './policies.ts';

describe('measurements', () => {
  // Guards against a change that breaks rule I3 (a target that is known to be cold gets no request
  // above its limit), and against a scenario that is too easy to overload a target under the baselines.
  it('show overloads of a cold target under the baselines and none with shared slots', async () => {
    const rows = await measureColdTargets();
    const isOver = rows.map(({ overloads }) => Number(overloads) > 0);
    expect(rows.map(({ policy }) => policy)).toEqual(Object.values(Policy));
    expect(isOver).toEqual([false, true, true]);
  });

  // Guards against new requests to a zone later than 3 s after it was taken out (rule I4).
  it('show the last new request to a zone within 3 s after it was taken out', async () => {
    const [shared] = await measureZoneMove();
    expect(Number(shared?.lastWorkMs) <= 3_000).toEqual(true);
    expect(shared?.overloads).toEqual(0);
  });
});
