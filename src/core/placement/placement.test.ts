import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { computeExpectedWaitMs, computeMaxInFlight } from './admission.ts';
import { computeOwnSlots } from './own-places.ts';
import { createWaitingLines } from './waiting-lines.ts';

describe('own slots', () => {
  const cases = [
    { gateways: 8, targets: 12, slots: 12 },
    { gateways: 195, targets: 95, slots: 10 },
    { gateways: 85, targets: 2, slots: 34 },
    { gateways: 1, targets: 3, slots: 6 },
  ];
  for (const { gateways, targets, slots } of cases) {
    // Guards against slots that two gateways take for their own, and against slots of nobody.
    it(`divides ${targets} targets with ${slots} slots among ${gateways} gateways`, () => {
      const totals = Array.from({ length: gateways }, (_, index) =>
        Array.from({ length: targets }, (_one, targetIndex) =>
          computeOwnSlots(
            { index: targetIndex, count: targets, slots },
            { index, count: gateways },
          ),
        ).reduce((sum, own) => sum + own, 0),
      );
      expect(totals.reduce((sum, own) => sum + own, 0)).toEqual(targets * slots);
      expect(Math.max(...totals) - Math.min(...totals) <= 1).toEqual(true);
    });
  }
});

describe('admission', () => {
  const cases = [
    { name: 'no slack', slackMs: -50, expected: 12 },
    { name: 'slack for one slot', slackMs: 120, expected: 13 },
    { name: 'much slack', slackMs: 60_000, expected: 24 },
  ];
  for (const { name, slackMs, expected } of cases) {
    it(`lets a target hold ${expected} requests with ${name}`, () => {
      expect(computeMaxInFlight({ slots: 12, slackMs, durationMs: 1_000 })).toEqual(expected);
    });
  }

  it('expects a longer wait behind others, and none without targets', () => {
    const input = { totalSlots: 100, durationMs: 1_000, gateways: 10 };
    expect(computeExpectedWaitMs({ ...input, ahead: 0 })).toEqual(100);
    expect(computeExpectedWaitMs({ ...input, ahead: 2 })).toEqual(300);
    expect(computeExpectedWaitMs({ ...input, ahead: 0, totalSlots: 0 })).toEqual(Infinity);
  });
});

describe('waiting lines', () => {
  it('start the most urgent request first and end those whose time is up', async () => {
    const timers = createManualTimers();
    const lines = createWaitingLines(timers);
    const ended: string[] = [];
    let places = 0;
    const add = (name: string, priority: number, giveUpMs: number) =>
      lines.add('m', {
        priority,
        giveUpMs,
        tryStart() {
          if (places === 0) return false;
          places--;
          ended.push(`started ${name}`);
          return true;
        },
        giveUp: () => ended.push(`ended ${name}`),
      });
    add('low', 2, 500);
    add('late', 1, 300);
    add('soon', 1, 100);
    const leave = add('gone', 0, 50);
    leave();
    expect(lines.countAhead('m', { priority: 1, giveUpMs: 200 })).toEqual(1);
    places = 1;
    lines.serve('m');
    await timers.runForAsync(400, 5);
    places = 1;
    lines.serve('m');
    expect(ended).toEqual(['started soon', 'ended late', 'started low']);
    expect(lines.countWaiting()).toEqual(0);
  });
});
