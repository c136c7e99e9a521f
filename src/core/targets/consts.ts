/** Longest time without an event or heartbeat before a connection counts as silent. */
export const HEARTBEAT_DEADLINE_MS = 3_000;

/** Longest time for an engine to confirm that a stream is cancelled. */
export const STOP_DEADLINE_MS = 3_000;

/** Longest time to establish a connection. VMs are about 0.5 ms apart. */
export const CONNECT_DEADLINE_MS = 1_000;

/** Largest answer of a plain service that a daemon takes. */
export const MAX_SERVICE_ANSWER_BYTES = 8 * 1_024 * 1_024;

/** Largest event of an engine; a longer line is a broken stream. */
export const MAX_EVENT_CHARACTERS = 256 * 1_024;
