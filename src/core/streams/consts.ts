const KIB = 1_024;

/** Most bytes that a daemon holds for one slow reader, the write buffer of its socket included. */
export const MAX_STREAM_BYTES = 64 * KIB;

/** Write buffer of a caller's socket; a larger one would hide text from the bound of a stream. */
export const SOCKET_BUFFER_BYTES = 8 * KIB;

/** Most text of one event to a caller; text of several tokens is joined for a slow reader. */
export const MAX_BATCH_BYTES = KIB;

/** Undelivered text at which a stream is cancelled at the engine. */
export const MAX_UNDELIVERED_BYTES = 48 * KIB;

/** What a stream holds besides may grow by a segment of the log and a batch until it is checked. */
export const MAX_HELD_BYTES = MAX_STREAM_BYTES - 4 * KIB;

/**
 * Packed text of delivered tokens that is kept for a slow reader. More would leave so little room
 * for undelivered text that the stream would be cancelled again after a few tokens.
 */
export const MAX_PACKED_BYTES = 20 * KIB;

/** Undelivered text at which a cancelled stream continues: a quarter of the bound. */
export const CONTINUE_UNDELIVERED_BYTES = MAX_UNDELIVERED_BYTES / 4;

/** Most undelivered text of all streams of a daemon. */
export const MAX_DAEMON_BYTES = 64 * KIB * KIB;

/** Cancelled streams continue when the daemon is below this share of its bound. */
export const CONTINUE_DAEMON_SHARE = 0.75;

/** Attempts that may fail before the caller gets an error. */
export const MAX_FAILED_ATTEMPTS = 4;

/** Resumptions at an engine without a new token before its stream counts as lost. */
export const MAX_RESUMES_WITHOUT_PROGRESS = 2;

/** Period of the comment that tells the caller that the connection works. */
export const CALLER_HEARTBEAT_MS = 5_000;

/** Longest time without progress of a write to the caller. */
export const CALLER_WRITE_DEADLINE_MS = 60_000;

/**
 * Time that a stream is kept after its caller left. The caller may resume it through another
 * daemon, which then replaces this one as reader; without that it is cancelled.
 */
export const CALLER_GRACE_MS = 2_000;

/** Tries to cancel a stream at an engine, and the time between them. */
export const MAX_STOP_TRIES = 5;
export const STOP_RETRY_MS = 1_000;
