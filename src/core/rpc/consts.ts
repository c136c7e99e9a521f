/** Period of HTTP/2 pings on connections with open streams. */
export const PEER_PING_PERIOD_MS = 2_000;

/** A connection whose ping is not answered within this time is closed. */
export const PEER_PING_DEADLINE_MS = 2_000;

/** Deadline of unary calls that do not set their own. */
export const DEFAULT_CALL_DEADLINE_MS = 5_000;

/**
 * Connections without streams are closed after this time. They are not pinged: the link sends a
 * ping before it reuses a connection that was idle for longer than the ping period.
 */
export const IDLE_CONNECTION_MS = 60_000;

/** Time that unary calls in flight get to finish when a server closes. */
export const DRAIN_DEADLINE_MS = 10_000;

/** Largest message accepted; a fetch can hold the configuration and all allocations. */
export const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;
