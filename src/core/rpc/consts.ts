/** Interval of HTTP/2 pings on connections with open streams. */
export const PEER_PING_PERIOD_MS = 2_000;

/** Time after which a connection whose ping was not acknowledged is closed. */
export const PEER_PING_DEADLINE_MS = 2_000;

/** Deadline of unary calls that do not set one. */
export const DEFAULT_CALL_DEADLINE_MS = 5_000;

/**
 * Time after which connections without streams are closed. Idle connections are not pinged
 * periodically; instead, a connection that was idle for longer than the ping interval is verified by
 * a ping before it is reused.
 */
export const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

/** Time that unary calls in flight have to finish when a server closes. */
export const DRAIN_DEADLINE_MS = 10_000;

/** Maximum message size; a fetch can return the configuration and all allocations. */
export const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;
