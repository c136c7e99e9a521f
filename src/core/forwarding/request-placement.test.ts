import { describe, it } from 'node:test';
import { expect } from 'earl';
import { openUnboundedAccount } from '../memory/fixtures/unbounded-account.ts';
import { createDemandMeter, createPlacementState, WaitEnd } from '../placement/index.ts';
import type { ServiceSpec, StepModel } from '../serving/index.ts';
import { RequestKind } from '../serving/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { RoutedRequest } from './forward-request.ts';
import { createRequestPlacement } from './request-placement.ts';

const REQUESTS = 2_000;
/** Model names that callers make up; headers of this length are within the limits of callers. */
const NAME_LENGTH = 4_000;
const WINDOW_MS = 2_000;

const PLAIN: ServiceSpec = { name: 's', coldRequestsPerSecond: 0, engine: undefined };
const WITH_ENGINES: ServiceSpec = {
  ...PLAIN,
  engine: {
    slots: 4,
    models: [
      {
        name: 'm',
        groupSize: 2,
        engineShareWeight: 1,
        pace: 1,
        loadMs: 1_000,
        stagedJoinMs: 200,
      },
    ],
    loadsPerSecond: 1,
    maxUnslowedLoads: 1,
    openMs: 100,
  },
};

function buildInput(service: ServiceSpec, model: string | undefined): RoutedRequest {
  return {
    request: {
      method: 'POST',
      path: '/',
      host: 'h',
      callerAttemptId: 'a',
      deadlineMs: undefined,
      key: undefined,
      model,
      promptTokens: 0,
      sharedPartIds: [],
      lastEventId: undefined,
      forwardedHeaders: [],
    },
    body: Buffer.alloc(0),
    account: openUnboundedAccount(),
    route: {
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      kind: RequestKind.Streaming,
      timeoutMs: 1_000,
      latencyObjectiveMs: 300,
      priority: 0,
      gapObjectiveMs: undefined,
      services: [],
      maxAttempts: 1,
      isAnonymousAllowed: true,
      isResumable: false,
    },
    service,
    customer: undefined,
    arrivedMs: 0,
    configurationVersion: 1,
    dueMs: 1_000,
  };
}

function createTestPlacement(service: ServiceSpec) {
  const timers = createManualTimers();
  const options = {
    timers,
    chooser: {
      chooseTarget: () => undefined,
      countReadyTargets: () => 0,
      computeCapacity: () => ({
        targetCount: 0,
        slots: 0,
        borrowEveryMs: Infinity,
        pauseMs: 0,
        areAllLimited: false,
      }),
    },
    ...createPlacementState(timers),
    countGateways: () => 1,
    random: () => 0,
  };
  return {
    timers,
    getKey: (model: string | undefined) =>
      createRequestPlacement(buildInput(service, model), options).key,
  };
}

describe('keys of requests', () => {
  const cases = [
    { name: 'engines', service: WITH_ENGINES, known: 'm' },
    { name: 'plain targets', service: PLAIN, known: undefined },
  ];
  for (const { name, service, known } of cases) {
    // Guards against callers that fill the heap and the packets between gateways with model names.
    it(`are as many as the configuration has models, for a service of ${name}`, () => {
      const { timers, getKey } = createTestPlacement(service);
      const meter = createDemandMeter(timers);
      for (let index = 0; index < REQUESTS; index++) {
        meter.recordRequest(getKey(String(index).padStart(NAME_LENGTH, 'x')), 0);
      }
      meter.recordRequest(getKey(known), 0);
      timers.runFor(WINDOW_MS);
      const bytes = meter.listDemands().reduce((sum, { key }) => sum + key.length, 0);
      expect({ keys: meter.listDemands().length, isSmall: bytes < NAME_LENGTH }).toEqual({
        keys: service.engine === undefined ? 1 : 2,
        isSmall: true,
      });
    });
  }

  it('differ by model, and between requests with an unknown model and without one', () => {
    const { getKey } = createTestPlacement(WITH_ENGINES);
    const keys = [getKey('m'), getKey('made-up'), getKey(undefined)];
    expect(new Set(keys).size).toEqual(3);
  });
});

/** Targets with ten slots, one of which becomes free every 100 ms. */
const CAPACITY = {
  targetCount: 1,
  slots: 10,
  borrowEveryMs: Infinity,
  pauseMs: 0,
  areAllLimited: false,
};
const STEP_MODEL: StepModel = {
  stepMs: 10,
  perRequestMs: 0,
  perKiloTokenMs: 0,
  readTokensPerSecond: 50_000,
  millionPairsMs: 0,
  tokensPerEvent: 1,
  usualPromptTokens: 1_000,
  usualAnswerTokens: 150,
};
const LONG_ANSWER = 600;

/** Lets some requests wait, and one more arrive; returns what happens to each. */
function playArrival(waiting: readonly number[], arriving: number, stepModel?: StepModel) {
  const timers = createManualTimers();
  const service: ServiceSpec = { ...PLAIN, engine: { ...WITH_ENGINES.engine!, stepModel } };
  const options = {
    timers,
    chooser: {
      chooseTarget: () => undefined,
      countReadyTargets: () => 1,
      computeCapacity: () => CAPACITY,
    },
    ...createPlacementState(timers),
    countGateways: () => 1,
    random: () => 0,
  };
  const ends: string[] = [];
  const arrive = (expectedAnswerTokens: number, index: number): void => {
    const input = buildInput(service, 'm');
    const request = { ...input.request, expectedAnswerTokens };
    const placement = createRequestPlacement({ ...input, request, dueMs: 60_000 }, options);
    placement.recordArrival();
    const plan = placement.planWait(placement.buildQuery(false, new Set()));
    if (plan.displaced !== undefined) options.lines.refuse(placement.key, plan.displaced);
    if (plan.giveUpMs === undefined) {
      ends[index] = 'refused';
      return;
    }
    ends[index] = 'waits';
    options.lines.add(placement.key, {
      ...placement.buildRank(),
      giveUpMs: plan.giveUpMs,
      tryStart: () => false,
      giveUp: (end) => {
        ends[index] = end === WaitEnd.Displaced ? 'displaced' : 'late';
      },
    });
  };
  [...waiting, arriving].forEach(arrive);
  return ends;
}

describe('a request that arrives at a full line', () => {
  const cases = [
    {
      name: 'takes the place of one that needs more work',
      waiting: [100, LONG_ANSWER, 100],
      arriving: 100,
      stepModel: STEP_MODEL,
      ends: ['waits', 'displaced', 'waits', 'waits'],
    },
    {
      name: 'is refused if it needs most work',
      waiting: [100, 100, 100],
      arriving: LONG_ANSWER,
      stepModel: STEP_MODEL,
      ends: ['waits', 'waits', 'waits', 'refused'],
    },
    // Guards against a change for services that publish no times.
    {
      name: 'is refused if nothing is known of the work',
      waiting: [100, LONG_ANSWER, 100],
      arriving: 100,
      stepModel: undefined,
      ends: ['waits', 'waits', 'waits', 'refused'],
    },
  ];
  for (const { name, waiting, arriving, stepModel, ends } of cases) {
    it(name, () => {
      expect(playArrival(waiting, arriving, stepModel)).toEqual(ends);
    });
  }
});
