import type { EngineSpec, StepModel } from '../serving/index.ts';
import type { RequestSizes } from './types.ts';

/** Longest prompt or answer that an estimate counts, in tokens; no model has a longer context. */
const MAX_TOKENS = 10_000_000;
const MS_PER_SECOND = 1_000;
const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Returns a told number of tokens within what can be; undefined if it says nothing. */
export function checkTokens(tokens: number | undefined): number | undefined {
  if (tokens === undefined || !(tokens > 0)) return undefined;
  return Math.min(tokens, MAX_TOKENS);
}

/** Computes the time to read a prompt, in ms. */
function computeReadMs(promptTokens: number, step: StepModel): number {
  const pairs = (promptTokens * promptTokens) / 2;
  return (
    (promptTokens * MS_PER_SECOND) / step.readTokensPerSecond +
    (pairs / PAIRS_PER_MILLION) * step.millionPairsMs
  );
}

/** Computes the time of one step of a group whose slots are all taken, in ms. */
function computeStepMs(slots: number, contextTokens: number, step: StepModel): number {
  const contextMs = (contextTokens / TOKENS_PER_THOUSAND) * step.perKiloTokenMs;
  return step.stepMs + slots * (step.perRequestMs + contextMs);
}

/**
 * Computes the answer to expect, in tokens. The caller's expectation is often far off, so that it
 * counts as much as the usual length: their geometric mean.
 */
function computeAnswerTokens(sizes: RequestSizes, usualTokens: number): number {
  const most = checkTokens(sizes.maxAnswerTokens) ?? MAX_TOKENS;
  const told = checkTokens(sizes.expectedAnswerTokens) ?? checkTokens(sizes.maxAnswerTokens);
  return Math.min(most, Math.sqrt((told ?? usualTokens) * usualTokens));
}

/** Whether a caller tells a size from which work can be computed. */
export function hasToldSizes(sizes: RequestSizes): boolean {
  const { promptTokens, maxAnswerTokens, expectedAnswerTokens } = sizes;
  return [promptTokens, maxAnswerTokens, expectedAnswerTokens].some(
    (tokens) => checkTokens(tokens) !== undefined,
  );
}

/** Tokens that a request reads and writes. */
interface RequestTokens {
  prompt: number;
  answer: number;
}

/** Returns the usual sizes of a service's requests, in tokens. */
function getUsualTokens(step: StepModel): RequestTokens {
  return { prompt: step.usualPromptTokens, answer: step.usualAnswerTokens };
}

/** Computes the time to read a prompt and write an answer in a full group, in ms. */
function computeSlotMs(
  tokens: RequestTokens,
  step: StepModel,
  slots: number,
  pace: number,
): number {
  const usual = getUsualTokens(step);
  const stepMs = computeStepMs(slots, usual.prompt + usual.answer, step);
  return pace * (computeReadMs(tokens.prompt, step) + tokens.answer * stepMs);
}

/** What the estimates need of a service's engines. */
type EngineTimes = Pick<EngineSpec, 'slots' | 'stepModel'>;

/**
 * Computes the time for which a request of the usual sizes takes a slot, in ms; undefined if its
 * service does not publish how long steps take.
 */
export function computeUsualWorkMs(
  { slots, stepModel }: EngineTimes,
  pace: number,
): number | undefined {
  return stepModel && computeSlotMs(getUsualTokens(stepModel), stepModel, slots, pace);
}

/**
 * Computes the time for which a request takes a slot of a full group, in ms, from the times that its
 * service publishes; undefined if it publishes none or the caller tells no size.
 */
export function computeWorkMs(
  sizes: RequestSizes,
  { slots, stepModel }: EngineTimes,
  pace: number,
): number | undefined {
  if (stepModel === undefined || !hasToldSizes(sizes)) return undefined;
  const usual = getUsualTokens(stepModel);
  const tokens = {
    prompt: checkTokens(sizes.promptTokens) ?? usual.prompt,
    answer: computeAnswerTokens(sizes, usual.answer),
  };
  return computeSlotMs(tokens, stepModel, slots, pace);
}
