/** Time without an event or heartbeat after which an engine connection counts as silent. */
export const HEARTBEAT_DEADLINE_MS = 3_000;

/** Time limit for an engine to confirm the cancellation of a stream. */
export const STOP_DEADLINE_MS = 3_000;

/** Time limit for establishing a connection. The network latency between VMs is about 0.5 ms. */
export const CONNECT_DEADLINE_MS = 1_000;

/** Largest response body, in bytes, that a daemon accepts from a plain service. */
export const MAX_SERVICE_RESPONSE_BYTES = 8 * 1_024 * 1_024;

/** Largest event, in characters, that an engine may send; a longer one fails the stream. */
export const MAX_EVENT_CHARACTERS = 256 * 1_024;
