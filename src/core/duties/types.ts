/** Identity that a gateway sends with the calls of a duty. */
export interface DutyHolder {
  /** VM that holds the duty. */
  vmName: string;
  /** Fencing token; it rises whenever the holder changes. */
  token: number;
}

/** How a call of a duty ended. */
export enum DutyCallResult {
  Accepted = 'accepted',
  /** Not done, because too many calls came in a short time. */
  RateLimited = 'rate-limited',
  /** Not done; the same call would be rejected again. */
  Rejected = 'rejected',
  /** No usable response: the call may have been done, or may still be done. */
  OutcomeUnknown = 'outcome-unknown',
}

/** Requests of each customer that began to run in a usage window. */
export interface UsageReport {
  /** Number of the window; window n begins n window lengths after the start of 1970. */
  window: number;
  counts: ReadonlyMap<string, number>;
}

/** Order for the number of targets of a service in an availability zone. */
export interface ScaleOrder {
  service: string;
  availabilityZone: string;
  targetCount: number;
}

/** Calls that exactly one gateway makes at a time. */
export interface DutyCalls {
  reportUsage(holder: DutyHolder, report: UsageReport): Promise<DutyCallResult>;
  orderTargetCount(holder: DutyHolder, order: ScaleOrder): Promise<DutyCallResult>;
  close(): Promise<void>;
}
