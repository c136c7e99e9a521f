import { createHash } from 'node:crypto';
import { z } from 'zod';
import { createError, ErrorKind } from '../errors/index.ts';
import { formatPath } from '../settings/index.ts';
import {
  BYTES_PER_TOKEN,
  DEFAULT_ANSWER_TOKENS,
  MAX_ANSWER_TOKENS,
  PREFIX_KEY_CHARACTERS,
} from './consts.ts';

const completionSchema = z.object({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.number().int().min(1).max(MAX_ANSWER_TOKENS).default(DEFAULT_ANSWER_TOKENS),
  /** As in the OpenAI API, the response is not streamed by default. */
  stream: z.boolean().default(false),
});

/** Body of `POST /v1/completions`. */
export type CompletionBody = z.infer<typeof completionSchema>;

/** Fields that every chunk of an answer repeats. */
export interface CompletionMetadata {
  requestId: string;
  model: string;
}

/** Validates the body of a completion request; throws `RequestInvalid`. */
export function parseCompletion(value: unknown): CompletionBody {
  const result = completionSchema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = formatPath(issue?.path ?? []);
  throw createError(ErrorKind.RequestInvalid, { path, problem: issue?.message ?? 'is invalid' });
}

/** Estimates the number of tokens of a prompt; the estimate is deliberately high. */
export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN));
}

/** Computes a key that is equal for requests of a customer with the same model and prompt prefix. */
export function computePrefixKey(customer: string, { model, prompt }: CompletionBody): string {
  const prefix = prompt.slice(0, PREFIX_KEY_CHARACTERS);
  return createHash('sha1').update(`${customer}\u0000${model}\u0000${prefix}`).digest('base64');
}

/**
 * Formats a chunk of an answer, or the whole answer, in the format of the OpenAI API. The last chunk
 * is the one with `totalTokens`.
 */
export function formatCompletion(
  { requestId, model }: CompletionMetadata,
  text: string,
  totalTokens?: number,
): object {
  const isEnd = totalTokens !== undefined;
  return {
    id: requestId,
    object: 'text_completion',
    model,
    choices: [{ index: 0, text, finish_reason: isEnd ? 'stop' : null }],
    ...(isEnd && { usage: { completion_tokens: totalTokens } }),
  };
}
