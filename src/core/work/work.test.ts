import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EngineSpec, ServiceSpec } from '../serving/index.ts';
import { computeUsualWorkMs, computeWorkMs } from './compute-work.ts';
import type { RequestSizes, WorkInput } from './types.ts';
import { createWorkEstimates } from './work-estimates.ts';

const ENGINE: EngineSpec = {
  slots: 10,
  models: [
    { name: 'm', groupSize: 2, engineShareWeight: 1, pace: 1, loadMs: 1_000, stagedJoinMs: 200 },
  ],
  loadsPerSecond: 1,
  maxUnslowedLoads: 1,
  openMs: 100,
  stepModel: {
    stepMs: 8,
    perRequestMs: 0.2,
    perKiloTokenMs: 0,
    readTokensPerSecond: 50_000,
    millionPairsMs: 0,
    tokensPerEvent: 1,
    usualPromptTokens: 1_000,
    usualAnswerTokens: 100,
  },
};
const SERVICE: ServiceSpec = { name: 's', coldRequestsPerSecond: 0, engine: ENGINE };
const USUAL: RequestSizes = {
  promptTokens: 1_000,
  maxAnswerTokens: 400,
  expectedAnswerTokens: 100,
  bodyBytes: 1_000,
};
/** Reads 1,000 tokens in 20 ms and writes 100 in steps of 10 ms. */
const USUAL_MS = 1_020;

function buildInput(sizes: Partial<RequestSizes> = {}, customer = 'c'): WorkInput {
  return {
    service: SERVICE,
    model: 'm',
    route: 'r',
    customer,
    sizes: { ...USUAL, ...sizes },
  };
}

/** A number as it can't be: callers and other writers send any. */
const BAD_NUMBERS = [undefined, 0, -5, Number.NaN, Number.NEGATIVE_INFINITY];

describe('work of a request', () => {
  const cases: { name: string; sizes: Partial<RequestSizes>; workMs: number }[] = [
    { name: 'counts reading and writing', sizes: {}, workMs: USUAL_MS },
    { name: 'counts a long prompt', sizes: { promptTokens: 5_000 }, workMs: 1_100 },
    {
      name: 'counts half of what the caller expects beyond the usual, as a factor',
      sizes: { expectedAnswerTokens: 400 },
      workMs: 2_020,
    },
    {
      name: 'counts no more than the answer may have',
      sizes: { expectedAnswerTokens: 400, maxAnswerTokens: 50 },
      workMs: 520,
    },
  ];
  for (const { name, sizes, workMs } of cases) {
    it(name, () => {
      expect(Math.round(computeWorkMs({ ...USUAL, ...sizes }, ENGINE, 1) ?? 0)).toEqual(workMs);
    });
  }

  // Guards against places in the line that are bought with sizes that can't be.
  for (const bad of BAD_NUMBERS) {
    it(`is the usual one if a size is ${bad}`, () => {
      const sizes = {
        ...USUAL,
        promptTokens: bad,
        expectedAnswerTokens: bad,
        maxAnswerTokens: 100,
      };
      expect(computeWorkMs(sizes, ENGINE, 1)).toEqual(USUAL_MS);
    });
    it(`is unknown if all sizes are ${bad}`, () => {
      const sizes = { promptTokens: bad, expectedAnswerTokens: bad, maxAnswerTokens: bad };
      expect(computeWorkMs({ ...sizes, bodyBytes: 10 }, ENGINE, 1)).toEqual(undefined);
    });
  }

  it('is finite for sizes of 1e308', () => {
    const sizes = { promptTokens: 1e308, expectedAnswerTokens: 1e308, maxAnswerTokens: 1e308 };
    const workMs = computeWorkMs({ ...sizes, bodyBytes: 10 }, ENGINE, 1) ?? Infinity;
    expect(Number.isFinite(workMs) && workMs > USUAL_MS).toEqual(true);
  });

  it('is unknown for a service that publishes no times', () => {
    expect(computeWorkMs(USUAL, { ...ENGINE, stepModel: undefined }, 1)).toEqual(undefined);
  });

  it('is multiplied by the pace of the model', () => {
    expect(computeUsualWorkMs(ENGINE, 0.5)).toEqual(USUAL_MS / 2);
  });
});

describe('estimates of work', () => {
  const REQUESTS = 200;

  it('follow what the requests of a route take', () => {
    const estimates = createWorkEstimates();
    for (let index = 0; index < REQUESTS; index++) {
      estimates.recordDuration(buildInput(), 2 * USUAL_MS);
    }
    expect(Math.round(estimates.computeWork(buildInput())?.workMs ?? 0)).toEqual(2 * USUAL_MS);
    expect(Math.round(estimates.getObservedRatio() * 10)).toEqual(20);
  });

  // Guards against a customer that tells small answers and gets large ones.
  it('hold a customer to what its requests take, whatever it tells', () => {
    const estimates = createWorkEstimates();
    for (let index = 0; index < REQUESTS; index++) {
      for (let other = 0; other < 9; other++) {
        estimates.recordDuration(buildInput({}, `c${other}`), USUAL_MS);
      }
      estimates.recordDuration(buildInput({ expectedAnswerTokens: 1 }, 'liar'), USUAL_MS);
    }
    const honest = estimates.computeWork(buildInput({}, 'c1'))?.workMs ?? 0;
    const liar = estimates.computeWork(buildInput({ expectedAnswerTokens: 1 }, 'liar'));
    expect((liar?.workMs ?? 0) > 0.7 * honest).toEqual(true);
  });

  // Guards against a prompt that is told smaller than the body that holds it.
  it('count a prompt as at least half of what such bodies hold', () => {
    const estimates = createWorkEstimates();
    for (let index = 0; index < REQUESTS; index++) estimates.recordRequest(buildInput());
    const told = { promptTokens: 1, bodyBytes: 100_000 };
    const workMs = estimates.computeWork(buildInput(told))?.workMs ?? 0;
    expect(workMs >= USUAL_MS + 950).toEqual(true);
  });

  it('call about a tenth of the requests of a route large', () => {
    const estimates = createWorkEstimates();
    let large = 0;
    for (let index = 0; index < 10 * REQUESTS; index++) {
      // 0 to 99 in an order without runs.
      const input = buildInput({ expectedAnswerTokens: 50 + ((index * 37) % 100) });
      estimates.recordRequest(input);
      if (index >= 5 * REQUESTS && estimates.computeWork(input)?.isLarge === true) large++;
    }
    expect(large > 0.05 * 5 * REQUESTS && large < 0.2 * 5 * REQUESTS).toEqual(true);
  });

  // Guards against callers that fill the memory with names.
  it('keep a bounded number of customers', () => {
    const estimates = createWorkEstimates();
    for (let index = 0; index < 10_000; index++) {
      estimates.recordDuration(buildInput({}, `c${index}`), USUAL_MS);
    }
    expect(Math.round(estimates.computeWork(buildInput({}, 'c9999'))?.workMs ?? 0)).toEqual(
      USUAL_MS,
    );
  });
});
