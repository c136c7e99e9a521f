import { describe, it } from 'node:test';
import { expect } from 'earl';
import { findDutyViolations, findUsageViolations } from './duty-checks.ts';
import type { DutyCall, Observations } from './observations.ts';
import { createObservations } from './observations.ts';
import { DUTY_CASES, USAGE_CASES } from './fixtures/duty-cases.ts';

const WINDOW_MS = 2_000;
const ADDRESSES = new Map([
  ['a', '127.0.0.1:1'],
  ['b', '127.0.0.2:1'],
]);

function buildCall(change: Partial<DutyCall>): DutyCall {
  const atMs = change.atMs ?? 0;
  return {
    subject: 'usage',
    holder: 'a',
    token: 1,
    window: 0,
    counts: { c: 3 },
    atMs,
    wallMs: atMs,
    ...change,
  };
}

function observe(calls: Partial<DutyCall>[]): Observations {
  return { ...createObservations(), dutyCalls: calls.map(buildCall) };
}

describe('checks of duties', () => {
  for (const { name, calls, rules } of DUTY_CASES) {
    it(`find ${rules.length === 0 ? 'nothing wrong with ' : ''}${name}`, () => {
      const violations = findDutyViolations(observe(calls), ADDRESSES);
      expect(violations.map(({ rule }) => rule)).toEqual(rules);
    });
  }

  it('do not count calls right after a pause of their holder', () => {
    const observations = observe([{ token: 2 }, { token: 1, atMs: 250 }]);
    observations.pauses.push({ gateway: '127.0.0.1:1', fromMs: 20, toMs: 200 });
    expect(findDutyViolations(observations, ADDRESSES)).toEqual([]);
    expect(findDutyViolations(observations, new Map())).toHaveLength(1);
  });

  for (const { name, calls, rules } of USAGE_CASES) {
    it(`judge a report that is ${name}`, () => {
      const observations = observe(calls);
      for (let index = 0; index < 100; index++) {
        observations.runs.push({
          attemptId: `r${index}`,
          targetId: 't',
          afterEvent: 0,
          isGroupComplete: true,
          atMs: 1_000,
        });
      }
      const span = { fromWallMs: 0, toWallMs: WINDOW_MS + 5_000, offsetMs: 0 };
      const violations = findUsageViolations(observations, span);
      expect(violations.map(({ rule }) => rule)).toEqual(rules);
    });
  }
});
