import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ModelDemand } from '../work/index.ts';
import { computeEngineShares } from './engine-shares.ts';

const MODEL = { groupSize: 4, engineShareWeight: 0.5, pace: 1, loadMs: 0, stagedJoinMs: 0 };
const SPEC = {
  slots: 16,
  models: [
    { ...MODEL, name: 'long' },
    { ...MODEL, name: 'short' },
  ],
  loadsPerSecond: 5,
  maxUnslowedLoads: 5,
  openMs: 300,
};
const STEP_MODEL = {
  stepMs: 8,
  perRequestMs: 0.1,
  perKiloTokenMs: 0.01,
  readTokensPerSecond: 50_000,
  millionPairsMs: 0,
  tokensPerEvent: 5,
  usualPromptTokens: 1_000,
  usualAnswerTokens: 100,
};
const EVEN: ModelDemand = { requestsPerSecond: 40, durationMs: 1_000 };

describe('shares of the engines', () => {
  const cases = [
    { name: 'the configured ones without traffic', long: { requestsPerSecond: 0 }, expected: 0.5 },
    { name: 'even for even requests without a step model', long: {}, expected: 0.5 },
    {
      name: 'by requests alone without a step model',
      long: { promptTokens: 6_000, answerEvents: 20 },
      expected: 0.5,
    },
    {
      name: 'by requests and their durations with a step model, too',
      stepModel: STEP_MODEL,
      long: { promptTokens: 3_000, answerEvents: 20 },
      expected: 0.5,
    },
    { name: 'larger for requests that take longer', long: { durationMs: 2_000 }, expected: 0.7 },
  ];
  for (const { name, long, stepModel, expected } of cases) {
    it(`are ${name}`, () => {
      const quiet = long.requestsPerSecond === 0 ? { requestsPerSecond: 0 } : {};
      const shares = computeEngineShares({ ...SPEC, stepModel }, (model) =>
        model === 'long' ? { ...EVEN, ...long } : { ...EVEN, ...quiet },
      );
      expect(Math.round((shares.get('long') ?? 0) * 10) / 10).toEqual(expected);
    });
  }
});
