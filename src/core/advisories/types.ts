/** What a target says of itself in the header of a response. */
export interface TargetAdvice {
  /**
   * Requests per second that the target takes from all gateways together; undefined if it states
   * none, and the limit that it stated before is then over.
   */
  requestsPerSecond: number | undefined;
  /** Whether it states a limit that is not a number; the limit that it stated before then holds. */
  isLimitUnreadable: boolean;
  /** Whether it is shutting down, so that it must get no new requests. */
  isLeaving: boolean;
  /** How long it wants no more requests from this gateway; undefined if it says nothing of it. */
  pauseMs: number | undefined;
}

/** Advice of a response without any statement. */
export const NO_ADVICE: TargetAdvice = {
  requestsPerSecond: undefined,
  isLimitUnreadable: false,
  isLeaving: false,
  pauseMs: undefined,
};

/** What gateways tell each other about a target's limit. */
export interface LimitNotice {
  /** Names one process start of the target. */
  targetKey: string;
  /** Undefined if the limit is over. */
  requestsPerSecond: number | undefined;
  /** Fleet time from which the statement is. */
  statedMs: number;
}

/** What gateways tell each other about what targets say. */
export interface AdvisoryNotices {
  limits: readonly LimitNotice[];
  /** Process starts of targets that are shutting down. */
  leavingKeys: readonly string[];
}

/** Notices of a gateway that no target has told anything. */
export const NO_NOTICES: AdvisoryNotices = { limits: [], leavingKeys: [] };

/** A target's limit, with the requests that this gateway sent it lately. */
export interface LimitReport {
  targetId: string;
  /** Undefined if the limit is over. */
  requestsPerSecond: number | undefined;
  /** Requests that were sent within `SEND_WINDOW_MS`. */
  sent: number;
  /** Those of `sent` that had been sent to another target before. */
  resent: number;
}
