/** Header fields of the platform, in lower case as Node.js reads them. */
export enum Header {
  /** Id of one client attempt; each retry of a client has a new one. */
  AttemptId = 'x-attempt-id',
  /** Milliseconds that the sender still waits. */
  DeadlineMs = 'x-deadline-ms',
  LastEventId = 'last-event-id',
  /** Signature by which callers recognise an engine's own answer. */
  Signature = 'x-response-signature',
  /** Customer that the caller's key belongs to; set by the gateway only. */
  Customer = 'x-tenant',
  /** Incarnation that must handle the request; any other refuses it. */
  ExpectedTarget = 'x-expect-instance',
  /** Present if the target did not run the request and never will. */
  NotRun = 'x-not-executed',
  /** Id of the incarnation that answers. */
  TargetId = 'x-instance-id',
  RetryAfter = 'retry-after',
  Model = 'x-model',
  /** `promptTokens,maxOutputTokens`. */
  TokenUsage = 'x-token-usage',
  /** 0 to 9; 0 is admitted first. */
  Urgency = 'x-request-urgency',
  /** Engine at fault for a refusal of a group. */
  FaultyTarget = 'at-server',
  Authorization = 'authorization',
}

/** Scheme of the Authorization header that carries a customer's key. */
export const KEY_SCHEME = 'Bearer';
