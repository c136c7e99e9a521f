import { describe, it } from 'node:test';
import { expect } from 'earl';
import { computeBusyGroups } from './compute-busy-groups.ts';

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
const DEMAND = { requestsPerSecond: 20, durationMs: 800 };

describe('work of a model', () => {
  const cases = [
    { name: 'by requests at once without a step model', stepModel: undefined, expected: 1 },
    // 20 ms to read, and 100 tokens of (8 / 16 + 0.1 + 0.0105) ms to write.
    { name: 'by the usual sizes', demand: {}, expected: 1.621 },
    { name: 'by measured prompts', demand: { promptTokens: 3_500 }, expected: 2.671 },
    { name: 'by measured answers', demand: { answerEvents: 10 }, expected: 1.01025 },
    { name: 'by the pace of the model', pace: 2, expected: 3.242 },
    { name: 'as none without requests', demand: { requestsPerSecond: 0 }, expected: 0 },
  ];
  for (const { name, demand, pace = 1, expected, ...rest } of cases) {
    it(`is counted ${name}`, () => {
      const stepModel = 'stepModel' in rest ? rest.stepModel : STEP_MODEL;
      const busy = computeBusyGroups({ slots: 16, stepModel }, { pace }, { ...DEMAND, ...demand });
      expect(Math.abs(busy - expected) < 1e-9).toEqual(true);
    });
  }
});
