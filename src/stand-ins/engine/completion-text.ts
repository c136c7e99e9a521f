import { createHash } from 'node:crypto';

const CHARACTERS_PER_TOKEN = 4;
const WORDS = [
  'the',
  'graft',
  'sled',
  'ration',
  'order',
  'stock',
  'depot',
  'quote',
  'ships',
  'feeds',
  'and',
  'with',
  'on',
  'by',
  'early',
  'each',
];

/** Returns the number of tokens in a prompt, estimated from its length; at least 1. */
export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/**
 * Returns a function that gives the token at an offset of a completion. The text depends only on
 * the model, the prompt and the offset, so that every engine generates the same text and a
 * continuation at another engine can be checked against the whole completion.
 */
export function createCompletionText(model: string, prompt: string): (offset: number) => string {
  const seed = createHash('sha1').update(`${model}\u0000${prompt}`).digest();
  return (offset) => {
    const byte = seed[offset % seed.length] ?? 0;
    const word = WORDS[(byte + offset) % WORDS.length] ?? '';
    return `${word}${offset} `;
  };
}
