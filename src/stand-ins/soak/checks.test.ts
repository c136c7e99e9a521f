import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  findDeadlyPromptViolations,
  findLimitViolations,
  findViolations,
  Rule,
  MAX_STOP_MS,
} from './checks.ts';
import { DUTY_CASES, USAGE_CASES } from './fixtures/duty-cases.ts';
import type { Observations, ObservedResponse, TargetRun } from './observations.ts';
import { findHangingViolations, findStarvationViolations } from './peer-checks.ts';
import { ResponseEnd, createObservations, RequestClass } from './observations.ts';

const GATEWAY = '127.0.0.1:80';

function addRequest(
  observations: Observations,
  attemptId: string,
  requestClass: RequestClass,
  sentMs = 0,
) {
  const request = { attemptId, requestClass, gateway: GATEWAY, sentMs, isDeadly: false };
  observations.requests.set(attemptId, request);
}

function addResponse(
  observations: Observations,
  attemptId: string,
  change: Partial<ObservedResponse> = {},
): void {
  observations.responses.push({
    attemptId,
    status: 200,
    bodyAttemptId: attemptId,
    eventNumbers: [],
    lastEventNumber: undefined,
    end: ResponseEnd.Complete,
    version: undefined,
    endedMs: 100,
    ...change,
  });
}

function addRun(
  observations: Observations,
  attemptId: string,
  change: Partial<TargetRun> = {},
): void {
  const run = { attemptId, targetId: 't', afterEvent: 0, isGroupComplete: true, atMs: 50 };
  observations.runs.push({ ...run, ...change });
}

/** Observations of a faulty system; each case violates exactly one rule. */
const VIOLATING: { rule: Rule; name: string; fill(observations: Observations): void }[] = [
  {
    rule: Rule.KeepsRunning,
    name: 'ends by a signal that does not stop it',
    fill(observations) {
      observations.unplannedEnds.push({
        gateway: GATEWAY,
        end: 'SIGHUP',
        isOverMemory: false,
        memoryMb: 40,
        atMs: 900,
        ranMs: 40,
        lastLine: 'started',
      });
    },
  },
  {
    rule: Rule.MemoryLimit,
    name: 'holds more memory than its VM has',
    fill(observations) {
      observations.peakMemoryMb.set(GATEWAY, 351);
    },
  },
  {
    rule: Rule.OwnResponse,
    name: 'returns the response of another request',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Read);
      addResponse(observations, 'a', { bodyAttemptId: 'b' });
    },
  },
  {
    rule: Rule.CompleteAnswer,
    name: 'returns a part of a large answer as if it were complete',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Bulk);
      addResponse(observations, 'a', { missingBytes: 1 });
    },
  },
  {
    rule: Rule.RunOnce,
    name: 'sends a large order to two targets',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Bulk);
      addRun(observations, 'a');
      addRun(observations, 'a', { targetId: 'u' });
    },
  },
  {
    rule: Rule.RefusedNotExecuted,
    name: 'refuses a large order that was executed',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Bulk);
      addRun(observations, 'a');
      addResponse(observations, 'a', { status: 429 });
    },
  },
  {
    rule: Rule.OwnResponse,
    name: 'responds with success and without a body',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Read);
      addResponse(observations, 'a', { bodyAttemptId: undefined });
    },
  },
  ...[
    { name: 'omits an event', eventNumbers: [1, 3], lastNumber: 3 },
    { name: 'sends an event twice', eventNumbers: [1, 1, 2], lastNumber: 2 },
    { name: 'ends a stream early as if it were complete', eventNumbers: [1, 2], lastNumber: 3 },
  ].map(({ name, ...change }) => ({
    rule: Rule.CompleteStream,
    name,
    fill(observations: Observations) {
      addRequest(observations, 'a', RequestClass.Stream);
      addResponse(observations, 'a', change);
    },
  })),
  {
    rule: Rule.RunOnce,
    name: 'sends an order to two targets',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Order);
      addRun(observations, 'a');
      addRun(observations, 'a', { targetId: 'u' });
    },
  },
  {
    rule: Rule.RefusedNotExecuted,
    name: 'refuses an order that was executed',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Order);
      addRun(observations, 'a');
      addResponse(observations, 'a', { status: 503 });
    },
  },
  {
    rule: Rule.OnlySentRequests,
    name: 'executes a request that no caller sent',
    fill: (observations) => addRun(observations, 'a'),
  },
  {
    rule: Rule.CompleteGroup,
    name: 'opens a group before all members are ready',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Stream);
      addRun(observations, 'a', { isGroupComplete: false });
    },
  },
  {
    rule: Rule.OneGroup,
    name: 'joins a member of an open group to another group',
    fill: (observations) =>
      observations.conflictingJoins.push({ targetId: 't', group: 'g2', formerGroup: 'g1' }),
  },
  {
    rule: Rule.NewestConfiguration,
    name: 'reverts to an older configuration',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Read, 0);
      addResponse(observations, 'a', { version: 7, endedMs: 100 });
      addRequest(observations, 'b', RequestClass.Read, 150);
      addResponse(observations, 'b', { version: 3, endedMs: 200 });
    },
  },
  {
    rule: Rule.GracefulStop,
    name: 'does not end in time',
    fill: (observations) =>
      observations.plannedStops.push({
        gateway: GATEWAY,
        atMs: 0,
        endedMs: MAX_STOP_MS + 1,
        isDisrupted: true,
      }),
  },
  {
    rule: Rule.GracefulStop,
    name: 'interrupts a request when it stops',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Stream, 10);
      addResponse(observations, 'a', { end: ResponseEnd.Broken, endedMs: 300 });
      observations.plannedStops.push({
        gateway: GATEWAY,
        atMs: 50,
        endedMs: 400,
        isDisrupted: false,
      });
    },
  },
];

/** Observations that no rule forbids. */
const ALLOWED: { name: string; fill(observations: Observations): void }[] = [
  {
    name: 'a stream that continues at another engine',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Stream);
      addRun(observations, 'a');
      addRun(observations, 'a', { targetId: 'u', afterEvent: 2 });
      addResponse(observations, 'a', { eventNumbers: [1, 2, 3], lastEventNumber: 3 });
    },
  },
  {
    name: 'a stream that breaks and does not appear complete',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Stream);
      addResponse(observations, 'a', {
        eventNumbers: [1],
        lastEventNumber: 3,
        end: ResponseEnd.Broken,
      });
    },
  },
  {
    name: 'an older configuration seen by a request that was in progress',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Read, 0);
      addResponse(observations, 'a', { version: 7, endedMs: 100 });
      addRequest(observations, 'b', RequestClass.Read, 90);
      addResponse(observations, 'b', { version: 3, endedMs: 200 });
    },
  },
  {
    name: 'an order that was executed and failed with a status that does not rule out execution',
    fill(observations) {
      addRequest(observations, 'a', RequestClass.Order);
      addRun(observations, 'a');
      addResponse(observations, 'a', { status: 502, bodyAttemptId: undefined });
    },
  },
];

/** Observations of deadly requests after five crashes in the first 500 ms. */
const DEADLY_CASES: { name: string; rules: Rule[]; arrivals: number[]; served: number }[] = [
  {
    name: 'finds more deadly requests at engines than the bound allows',
    rules: [Rule.ContainedCrashes],
    arrivals: [3_600, 3_700, 3_800, 3_900],
    served: 20,
  },
  {
    name: 'finds sound requests that are not served',
    rules: [Rule.SoundPromptsServed],
    arrivals: [],
    served: 9,
  },
  { name: 'allows three late trials', rules: [], arrivals: [3_600, 3_700, 3_800], served: 20 },
];

const LIMIT_CASES = [
  { requestsPerSecond: 1, count: 11, everyMs: 350, expected: [] },
  { requestsPerSecond: 1, count: 12, everyMs: 330, expected: [Rule.KeptLimits] },
  { requestsPerSecond: 0, count: 6, everyMs: 100, expected: [Rule.KeptLimits] },
];

/** Observations of callers that are not slow, beside slow ones; `served` of 40 requests of a class. */
const PEER_CASES: {
  name: string;
  rules: Rule[];
  served: Record<RequestClass.Stream | RequestClass.Order | RequestClass.Read, number>;
  hangingAtMs?: number;
}[] = [
  {
    name: 'allows refusals of up to 60 % of the requests',
    rules: [],
    served: { [RequestClass.Stream]: 16, [RequestClass.Order]: 16, [RequestClass.Read]: 16 },
  },
  {
    name: 'finds a system that refuses more',
    rules: [Rule.SoundCallersServed],
    served: { [RequestClass.Stream]: 16, [RequestClass.Order]: 16, [RequestClass.Read]: 15 },
  },
  {
    name: 'finds a class that is served less than a quarter as often as all',
    rules: [Rule.SoundCallersServed],
    served: { [RequestClass.Stream]: 6, [RequestClass.Order]: 40, [RequestClass.Read]: 40 },
  },
  {
    name: 'finds a caller that is left waiting',
    rules: [Rule.AnsweredInTime],
    served: { [RequestClass.Stream]: 40, [RequestClass.Order]: 40, [RequestClass.Read]: 40 },
    hangingAtMs: 0,
  },
  {
    name: 'allows a paused process to answer nobody',
    rules: [],
    served: { [RequestClass.Stream]: 40, [RequestClass.Order]: 40, [RequestClass.Read]: 40 },
    hangingAtMs: 20_000,
  },
];

describe('checks of callers beside slow peers', () => {
  for (const { name, rules, served, hangingAtMs } of PEER_CASES) {
    it(name, () => {
      const observations = createObservations();
      const classes = [RequestClass.Stream, RequestClass.Order, RequestClass.Read] as const;
      for (const requestClass of classes) {
        for (let index = 0; index < 40; index++) {
          const attemptId = `${requestClass}${index}`;
          addRequest(observations, attemptId, requestClass);
          if (index < served[requestClass]) addResponse(observations, attemptId);
        }
      }
      // Requests of slow callers do not count.
      for (let index = 0; index < 400; index++) {
        addRequest(observations, `b${index}`, RequestClass.Bulk);
      }
      observations.pauses.push({ gateway: GATEWAY, fromMs: 21_000, toMs: 22_000 });
      if (hangingAtMs !== undefined) {
        addRequest(observations, 'hanging', RequestClass.Read, hangingAtMs);
        observations.hangingRequests.push({ attemptId: 'hanging', waitedMs: 6_000 });
      }
      const found = [
        ...findHangingViolations(observations),
        ...findStarvationViolations(observations),
      ];
      expect(found.map(({ rule }) => rule)).toEqual(rules);
    });
  }
});

describe('findViolations', () => {
  for (const { rule, name, fill } of VIOLATING) {
    // A check that never reports a violation would let every soak test pass.
    it(`finds a system that ${name}`, () => {
      const observations = createObservations();
      fill(observations);
      expect(findViolations(observations).map((violation) => violation.rule)).toEqual([rule]);
    });
  }

  for (const { name, fill } of ALLOWED) {
    it(`allows ${name}`, () => {
      const observations = createObservations();
      fill(observations);
      expect(findViolations(observations)).toEqual([]);
    });
  }

  it('has a violating case for each rule', () => {
    const violated = [
      ...VIOLATING.map(({ rule }) => rule),
      ...DEADLY_CASES.flatMap((one) => one.rules),
      ...LIMIT_CASES.flatMap((one) => one.expected),
      ...PEER_CASES.flatMap((one) => one.rules),
      ...DUTY_CASES.flatMap((one) => one.rules),
      ...USAGE_CASES.flatMap((one) => one.rules),
    ];
    expect(new Set(violated)).toEqual(new Set(Object.values(Rule)));
  });
});

describe('checks of deadly prompts', () => {
  for (const { name, rules, arrivals, served } of DEADLY_CASES) {
    it(name, () => {
      const observations = createObservations();
      observations.engineCrashesMs.push(100, 200, 300, 400, 500);
      arrivals.forEach((atMs) => observations.deadlyArrivals.push({ attemptId: 'd', atMs }));
      for (let index = 0; index < 20; index++) {
        addRequest(observations, `s${index}`, RequestClass.Stream, 7_000);
        if (index < served) addResponse(observations, `s${index}`);
      }
      expect(findDeadlyPromptViolations(observations).map(({ rule }) => rule)).toEqual(rules);
    });
  }

  // Guards against a check of request limits that no observation can fail.
  for (const { requestsPerSecond, count, everyMs, expected } of LIMIT_CASES) {
    it(`judges ${count} requests, one in ${everyMs} ms, at a limit of ${requestsPerSecond}`, () => {
      const observations = createObservations();
      for (let index = 0; index < count; index++) {
        const statedForMs = 3_500 + index * everyMs;
        observations.limitedArrivals.push({ targetId: 't', requestsPerSecond, statedForMs });
      }
      expect(findLimitViolations(observations).map(({ rule }) => rule)).toEqual(expected);
    });
  }
});
