import type { EngineSpec, EngineTiming } from '../serving/index.ts';
import type { RequestSizes } from './types.ts';

/** Longest prompt or answer that an estimate counts, in tokens; no model has a longer context. */
const MAX_TOKENS = 10_000_000;
/** Lengths that stand for the usual ones if a service does not publish them, in tokens. */
const DEFAULT_PROMPT_TOKENS = 1_000;
const DEFAULT_ANSWER_TOKENS = 150;
const MS_PER_SECOND = 1_000;
const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Returns a told number of tokens within what can be; undefined if it says nothing. */
export function checkTokens(tokens: number | undefined): number | undefined {
  if (tokens === undefined || !(tokens > 0)) return undefined;
  return Math.min(tokens, MAX_TOKENS);
}

/** Computes the time to read a prompt, in ms. */
function computeReadMs(promptTokens: number, timing: EngineTiming): number {
  const { readTokensPerSecond = Infinity, millionPairsMs = 0 } = timing;
  const pairs = (promptTokens * promptTokens) / 2;
  return (
    (promptTokens * MS_PER_SECOND) / readTokensPerSecond +
    (pairs / PAIRS_PER_MILLION) * millionPairsMs
  );
}

/** Computes the time of one step of a group whose slots are all taken, in ms. */
function computeStepMs(slots: number, contextTokens: number, timing: EngineTiming): number {
  const { stepMs = 0, perSequenceMs = 0, contextMsPerThousandTokens = 0 } = timing;
  const contextMs = (contextTokens / TOKENS_PER_THOUSAND) * contextMsPerThousandTokens;
  return stepMs + slots * (perSequenceMs + contextMs);
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

/** What the estimates need of a service's engines. */
type EngineTimes = Pick<EngineSpec, 'slots' | 'timing'>;

/** Returns the usual sizes of a service's requests, in tokens. */
function getUsualTokens({ timing }: EngineTimes): { prompt: number; answer: number } {
  return {
    prompt: timing?.usualPromptTokens ?? DEFAULT_PROMPT_TOKENS,
    answer: timing?.usualAnswerTokens ?? DEFAULT_ANSWER_TOKENS,
  };
}

/** Computes the time to read a prompt and write an answer in a full group, in ms. */
function computeSlotMs(
  tokens: { prompt: number; answer: number },
  engine: EngineTimes,
  pace: number,
): number {
  const { timing = {}, slots } = engine;
  const usual = getUsualTokens(engine);
  const stepMs = computeStepMs(slots, usual.prompt + usual.answer, timing);
  return pace * (computeReadMs(tokens.prompt, timing) + tokens.answer * stepMs);
}

/** Computes the time for which a request of the usual sizes takes a slot, in ms. */
export function computeUsualWorkMs(engine: EngineTimes, pace: number): number {
  return computeSlotMs(getUsualTokens(engine), engine, pace);
}

/**
 * Computes the time for which a request takes a slot of a full group, in ms, from the times that its
 * service publishes; undefined if it publishes none or the caller tells no size.
 */
export function computeWorkMs(
  sizes: RequestSizes,
  engine: EngineTimes,
  pace: number,
): number | undefined {
  if (engine.timing === undefined || !hasToldSizes(sizes)) return undefined;
  const usual = getUsualTokens(engine);
  const tokens = {
    prompt: checkTokens(sizes.promptTokens) ?? usual.prompt,
    answer: computeAnswerTokens(sizes, usual.answer),
  };
  return computeSlotMs(tokens, engine, pace);
}
