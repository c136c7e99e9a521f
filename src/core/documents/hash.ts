import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/** Returns the 64-bit xxHash of a text in UTF-8. */
export function computeHash(text: string): bigint {
  return h64(text);
}
