import { z } from 'zod';
import type { StepModel } from '../core/serving/index.ts';

/** Usual lengths of services that do not publish them, in tokens. */
const DEFAULT_PROMPT_TOKENS = 1_000;
const DEFAULT_ANSWER_TOKENS = 150;

const figureSchema = z.number().nonnegative().optional().catch(undefined);

/** Fields of an engine's properties that describe how long its work takes; all may be missing. */
export const stepModelFields = {
  step_ms: figureSchema,
  per_seq_ms: figureSchema,
  context_per_k: figureSchema,
  read_per_s: figureSchema,
  pairs_per_m: figureSchema,
  stride: figureSchema,
  usual: z.object({ prompt: figureSchema, answer: figureSchema }).optional().catch(undefined),
};

/** Returns the published durations of an engine's work; undefined if the main ones are missing. */
export function toStepModel(
  fields: z.infer<z.ZodObject<typeof stepModelFields>>,
): StepModel | undefined {
  const { step_ms: stepMs = 0, read_per_s: readTokensPerSecond = 0 } = fields;
  if (stepMs <= 0 || readTokensPerSecond <= 0) return undefined;
  return {
    stepMs,
    perRequestMs: fields.per_seq_ms ?? 0,
    perKiloTokenMs: fields.context_per_k ?? 0,
    readTokensPerSecond,
    millionPairsMs: fields.pairs_per_m ?? 0,
    tokensPerEvent: Math.max(1, fields.stride ?? 1),
    usualPromptTokens: fields.usual?.prompt || DEFAULT_PROMPT_TOKENS,
    usualAnswerTokens: fields.usual?.answer || DEFAULT_ANSWER_TOKENS,
  };
}
