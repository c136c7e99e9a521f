const KIB = 1_024;

/** Maximum bytes held for one slow reader, including the write buffer of its socket. */
export const MAX_STREAM_BYTES = 64 * KIB;

/** Write buffer of a caller's socket. A larger one would hide text from the stream limits. */
export const SOCKET_BUFFER_BYTES = 8 * KIB;

/** Maximum text of one event to a caller. For a slow reader, several tokens are joined. */
export const MAX_BATCH_BYTES = KIB;

/** Undelivered text above which a stream is paused, in bytes. */
export const MAX_UNDELIVERED_BYTES = 48 * KIB;

/**
 * Total held bytes above which a stream is paused. They may grow by a log segment and a batch
 * before the next check, so the threshold is below `MAX_STREAM_BYTES`.
 */
export const MAX_HELD_BYTES = MAX_STREAM_BYTES - 4 * KIB;

/**
 * Maximum compressed text of delivered tokens that is kept for a slow reader, in bytes. More would
 * leave so little memory for undelivered text that the stream would be paused again after a few
 * tokens.
 */
export const MAX_COMPRESSED_BYTES = 20 * KIB;

/** Undelivered text at which a paused stream continues: a quarter of the limit. */
export const CONTINUE_UNDELIVERED_BYTES = MAX_UNDELIVERED_BYTES / 4;

/** Maximum undelivered text of all streams of a daemon, in bytes. */
export const MAX_DAEMON_UNDELIVERED_BYTES = 64 * KIB * KIB;

/** Paused streams may continue when the daemon uses at most this fraction of its budget. */
export const CONTINUE_BUDGET_FRACTION = 0.75;

/** Number of failed attempts after which the caller gets an error. */
export const MAX_FAILED_ATTEMPTS = 4;

/** Consecutive resumes without a new token after which an engine stream counts as lost. */
export const MAX_RESUMES_WITHOUT_PROGRESS = 2;

/** Period of the SSE comments that show an idle caller that the connection is alive. */
export const CALLER_HEARTBEAT_MS = 5_000;

/** Time without any read by a blocked caller after which its connection is closed. */
export const CALLER_WRITE_DEADLINE_MS = 60_000;

/**
 * Time for which an engine stream is kept after its caller disconnected. The caller may resume it
 * through another daemon, which then replaces this one as reader; otherwise it is cancelled.
 */
export const CALLER_GRACE_MS = 2_000;

/** Number of times that the cancellation of an engine stream is tried. */
export const MAX_STOP_TRIES = 5;

/** Delay between tries to cancel an engine stream. */
export const STOP_RETRY_MS = 1_000;
