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
  /** Not sent, because this process is no longer the holder that the call was for. */
  NotHolder = 'not-holder',
}

/** Requests of each customer that began to run in a usage window. */
export interface UsageReport {
  /** Number of the window; window n begins n window lengths after the start of 1970. */
  window: number;
  counts: ReadonlyMap<string, number>;
}

/** Requests of each customer that began to run in a window, as one gateway counts them. */
export interface GatewayUsage {
  vmName: string;
  /** Number that differs between the starts of the process on one VM. */
  incarnation: number;
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

/** Settings of the duties; a deployment without them has none. */
export interface DutySettings {
  /** Whether the platform wants reports of the usage of each customer. */
  isUsageReported: boolean;
  /** Whether the number of targets is ordered from the platform. */
  areTargetsOrdered: boolean;
  /** Calls a second that the platform takes from all gateways together. */
  callsPerSecond: number;
  /** Time within which no gateway may act again after another one has acted in between. */
  leaseMs: number;
  /** Length of a usage window of the wall clock. */
  usageWindowMs: number;
  /** Time after the end of a window at which its report is due. */
  usageLateMs: number;
}
