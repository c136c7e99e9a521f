import type { EngineSpec, ModelSpec, StepModel } from '../serving/index.ts';
import type { ModelDemand } from './types.ts';

const MS_PER_SECOND = 1_000;
const TOKENS_PER_KILO_TOKEN = 1_000;

/** Computes the time that a request takes of a group with a full batch, without the model's pace. */
function computeRequestMs(step: StepModel, slots: number, demand: ModelDemand): number {
  const promptTokens = demand.promptTokens ?? step.usualPromptTokens;
  const answerTokens =
    demand.answerEvents === undefined
      ? step.usualAnswerTokens
      : demand.answerEvents * step.tokensPerEvent;
  const readMs = (promptTokens / step.readTokensPerSecond) * MS_PER_SECOND;
  // On average, half of the answer is written.
  const contextTokens = promptTokens + answerTokens / 2;
  const perRequestMs =
    step.perRequestMs + (step.perKiloTokenMs * contextTokens) / TOKENS_PER_KILO_TOKEN;
  return readMs + answerTokens * (step.stepMs / slots + perRequestMs);
}

/**
 * Computes how many groups of a model the demand would keep busy all the time: by the tokens to read
 * and to write if the configuration publishes how long they take, else by the requests at once.
 */
export function computeBusyGroups(
  spec: Pick<EngineSpec, 'slots' | 'stepModel'>,
  model: Pick<ModelSpec, 'pace'>,
  demand: ModelDemand,
): number {
  const slots = Math.max(1, spec.slots);
  if (spec.stepModel === undefined) {
    return (demand.requestsPerSecond * demand.durationMs) / MS_PER_SECOND / slots;
  }
  const requestMs = computeRequestMs(spec.stepModel, slots, demand) * model.pace;
  return (demand.requestsPerSecond * requestMs) / MS_PER_SECOND;
}
