import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/** Returns the 64-bit xxHash of the UTF-8 encoding of a text. */
export function computeHash(text: string): bigint {
  return h64(text);
}
