/** Maximum size of a request body. */
export const MAX_BODY_BYTES = 8 * 1_024 * 1_024;

/** Maximum size of all request bodies of a daemon together; as much as it holds of answers. */
export const MAX_DAEMON_BODY_BYTES = 64 * 1_024 * 1_024;

/** Time within which a caller has to send its request. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Delay before a caller whose request did not fit into the memory should retry. */
export const MEMORY_RETRY_MS = 1_000;

/**
 * UTF-8 bytes of a prompt that count as one token. English text has about 4 bytes per token and
 * Cyrillic text about 4 to 5. The lower value overestimates the number of tokens, so that the
 * requests of a target stay within its memory.
 */
export const BYTES_PER_TOKEN = 3;

/** Highest `max_tokens` that a caller may request. */
export const MAX_ANSWER_TOKENS = 131_072;

/** Value of `max_tokens` when the caller does not set it. */
export const DEFAULT_ANSWER_TOKENS = 1_024;

/** Length of the prompt prefix used to find targets that have it in their prefix cache. */
export const PREFIX_KEY_CHARACTERS = 512;

/** Time within which a service must respond. */
export const CALL_TIMEOUT_MS = 30_000;

/** Time that a caller has to read the buffered rest of a stream before its connection is closed. */
export const FLUSH_DEADLINE_MS = 60_000;

/** Interval at which idle connections are closed during shutdown. */
export const IDLE_CLOSE_INTERVAL_MS = 100;
