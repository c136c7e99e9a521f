/** Waits of a feed, derived from the time within which a change must be in force everywhere. */
export interface FeedTiming {
  /** Maximum long-poll wait of one watch call; also the interval that confirms the copy. */
  waitMs: number;
  /**
   * Age of the copy's last confirmation at which a follower calls the store itself. It exceeds the
   * wait by more than the packets of a watcher need.
   */
  followLimitMs: number;
}

/**
 * Share of the bound that one watch may wait. A watcher whose connection went silent gives it up
 * 0.7 s after the wait, and its next call must still answer within the bound.
 */
const WAIT_SHARE = 0.4;
/** Share of the bound after which a follower no longer waits for a watcher that was lost. */
const FOLLOW_SHARE = 0.6;
/** Longest wait, so that dead connections are noticed whatever the bound. */
const MAX_WAIT_MS = 2_500;

/** Computes the waits for a kind whose changes must be in force within `boundMs`. */
export function computeFeedTiming(boundMs: number): FeedTiming {
  return {
    waitMs: Math.min(MAX_WAIT_MS, Math.round(boundMs * WAIT_SHARE)),
    followLimitMs: Math.round(boundMs * FOLLOW_SHARE),
  };
}
