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

/** Returns the tokens that a prompt takes in memory. */
export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/**
 * Creates the text of an answer: equal for the same model, prompt and offset at every engine, so
 * that a continuation elsewhere can be checked against the whole answer.
 */
export function createAnswerText(model: string, prompt: string): (offset: number) => string {
  const seed = createHash('sha1').update(`${model}\u0000${prompt}`).digest();
  return (offset) => {
    const byte = seed[offset % seed.length] ?? 0;
    const word = WORDS[(byte + offset) % WORDS.length] ?? '';
    return `${word}${offset} `;
  };
}
