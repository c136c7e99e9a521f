/** Largest body of a request. */
export const MAX_BODY_BYTES = 8 * 1_024 * 1_024;

/**
 * UTF-8 bytes of a prompt counted as one token. English has about 4 and Cyrillic text about 4 to
 * 5; a smaller number overestimates, so that the requests of a target stay within its memory.
 */
export const BYTES_PER_TOKEN = 3;

/** Longest answer that a caller may ask for, and the length when the caller names none. */
export const MAX_ANSWER_TOKENS = 131_072;
export const DEFAULT_ANSWER_TOKENS = 1_024;

/** Characters of a prompt that decide which targets have its prefix in their cache. */
export const PREFIX_CHARACTERS = 512;

/** Longest time for a plain service to answer. */
export const CALL_TIMEOUT_MS = 30_000;

/** Time for a caller to read what was written before the end of its answer. */
export const FLUSH_DEADLINE_MS = 60_000;

/** Period at which idle connections are closed while the server stops. */
export const CLOSE_POLL_MS = 100;
