import { describe, it } from 'node:test';
import { expect } from 'earl';
import { findViolations, Rule, STOP_LIMIT_MS } from './checks.ts';
import type { Ledger, SeenAnswer, TargetRun } from './ledger.ts';
import { AnswerEnd, createLedger, RequestClass } from './ledger.ts';

const GATEWAY = '127.0.0.1:80';

function addRequest(ledger: Ledger, attemptId: string, requestClass: RequestClass, sentMs = 0) {
  ledger.requests.set(attemptId, { attemptId, requestClass, gateway: GATEWAY, sentMs });
}

function addAnswer(ledger: Ledger, attemptId: string, change: Partial<SeenAnswer> = {}): void {
  ledger.answers.push({
    attemptId,
    status: 200,
    bodyAttemptId: attemptId,
    eventNumbers: [],
    lastNumber: undefined,
    end: AnswerEnd.Complete,
    version: undefined,
    endedMs: 100,
    ...change,
  });
}

function addRun(ledger: Ledger, attemptId: string, change: Partial<TargetRun> = {}): void {
  const run = { attemptId, targetId: 't', afterEvent: 0, isGroupWhole: true, atMs: 50 };
  ledger.runs.push({ ...run, ...change });
}

/** Observations of a faulty system; each case violates exactly one rule. */
const BROKEN: { rule: Rule; name: string; fill(ledger: Ledger): void }[] = [
  {
    rule: Rule.OwnAnswer,
    name: 'returns the response of another request',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Read);
      addAnswer(ledger, 'a', { bodyAttemptId: 'b' });
    },
  },
  {
    rule: Rule.OwnAnswer,
    name: 'responds with success and without a body',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Read);
      addAnswer(ledger, 'a', { bodyAttemptId: undefined });
    },
  },
  ...[
    { name: 'omits an event', eventNumbers: [1, 3], lastNumber: 3 },
    { name: 'sends an event twice', eventNumbers: [1, 1, 2], lastNumber: 2 },
    { name: 'ends a stream early as if it were complete', eventNumbers: [1, 2], lastNumber: 3 },
  ].map(({ name, ...change }) => ({
    rule: Rule.WholeStream,
    name,
    fill(ledger: Ledger) {
      addRequest(ledger, 'a', RequestClass.Stream);
      addAnswer(ledger, 'a', change);
    },
  })),
  {
    rule: Rule.RunOnce,
    name: 'sends an order to two targets',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Order);
      addRun(ledger, 'a');
      addRun(ledger, 'a', { targetId: 'u' });
    },
  },
  {
    rule: Rule.TrueRefusal,
    name: 'refuses an order that was executed',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Order);
      addRun(ledger, 'a');
      addAnswer(ledger, 'a', { status: 503 });
    },
  },
  {
    rule: Rule.OnlyAsked,
    name: 'executes a request that no caller sent',
    fill: (ledger) => addRun(ledger, 'a'),
  },
  {
    rule: Rule.WholeGroup,
    name: 'opens a group before all members are ready',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Stream);
      addRun(ledger, 'a', { isGroupWhole: false });
    },
  },
  {
    rule: Rule.OneGroup,
    name: 'joins a member of an open group to another group',
    fill: (ledger) => ledger.doubleJoins.push({ targetId: 't', group: 'g2', formerGroup: 'g1' }),
  },
  {
    rule: Rule.NewestConfiguration,
    name: 'reverts to an older configuration',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Read, 0);
      addAnswer(ledger, 'a', { version: 7, endedMs: 100 });
      addRequest(ledger, 'b', RequestClass.Read, 150);
      addAnswer(ledger, 'b', { version: 3, endedMs: 200 });
    },
  },
  {
    rule: Rule.GracefulStop,
    name: 'does not end in time',
    fill: (ledger) =>
      ledger.stops.push({
        gateway: GATEWAY,
        atMs: 0,
        endedMs: STOP_LIMIT_MS + 1,
        isDisturbed: true,
      }),
  },
  {
    rule: Rule.GracefulStop,
    name: 'interrupts a request when it stops',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Stream, 10);
      addAnswer(ledger, 'a', { end: AnswerEnd.Broken, endedMs: 300 });
      ledger.stops.push({ gateway: GATEWAY, atMs: 50, endedMs: 400, isDisturbed: false });
    },
  },
];

/** Observations that no rule forbids. */
const ALLOWED: { name: string; fill(ledger: Ledger): void }[] = [
  {
    name: 'a stream that continues at another engine',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Stream);
      addRun(ledger, 'a');
      addRun(ledger, 'a', { targetId: 'u', afterEvent: 2 });
      addAnswer(ledger, 'a', { eventNumbers: [1, 2, 3], lastNumber: 3 });
    },
  },
  {
    name: 'a stream that breaks and does not appear complete',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Stream);
      addAnswer(ledger, 'a', { eventNumbers: [1], lastNumber: 3, end: AnswerEnd.Broken });
    },
  },
  {
    name: 'an older configuration seen by a request that was in progress',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Read, 0);
      addAnswer(ledger, 'a', { version: 7, endedMs: 100 });
      addRequest(ledger, 'b', RequestClass.Read, 90);
      addAnswer(ledger, 'b', { version: 3, endedMs: 200 });
    },
  },
  {
    name: 'an order that was executed and failed with a status that does not rule out execution',
    fill(ledger) {
      addRequest(ledger, 'a', RequestClass.Order);
      addRun(ledger, 'a');
      addAnswer(ledger, 'a', { status: 502, bodyAttemptId: undefined });
    },
  },
];

describe('findViolations', () => {
  for (const { rule, name, fill } of BROKEN) {
    // A check that never reports a violation would let every soak test pass.
    it(`finds a system that ${name}`, () => {
      const ledger = createLedger();
      fill(ledger);
      expect(findViolations(ledger).map((violation) => violation.rule)).toEqual([rule]);
    });
  }

  for (const { name, fill } of ALLOWED) {
    it(`allows ${name}`, () => {
      const ledger = createLedger();
      fill(ledger);
      expect(findViolations(ledger)).toEqual([]);
    });
  }

  it('has a violating case for each rule', () => {
    expect(new Set(BROKEN.map(({ rule }) => rule))).toEqual(new Set(Object.values(Rule)));
  });
});
