/** Header fields that the platform defines or uses, in lower case like in Node.js. */
export enum Header {
  /** Id of the caller's request attempt; a retry by the caller has a new id. */
  AttemptId = 'x-attempt-id',
  /** Milliseconds that the sender will still wait for the response. */
  DeadlineMs = 'x-deadline-ms',
  LastEventId = 'last-event-id',
  /** Signature by which callers verify that an engine produced the response. */
  Signature = 'x-response-signature',
  /** Customer that the caller's key belongs to; only the gateway sets it. */
  Customer = 'x-tenant',
  /** Id of the target incarnation that must handle the request; any other refuses it. */
  ExpectedTarget = 'x-expect-instance',
  /** Present if the target did not execute the request and never will. */
  NotRun = 'x-not-executed',
  /** Id of the target incarnation that responds. */
  TargetId = 'x-instance-id',
  RetryAfter = 'retry-after',
  Model = 'x-model',
  /** Parts of the prompt in order, `id:tokens,id:tokens`; the last one is the request's own. */
  PromptParts = 'x-prompt-prefix',
  /** `promptTokens,maxOutputTokens`. */
  TokenUsage = 'x-token-usage',
  /** Output tokens that the caller expects. */
  LengthHint = 'x-length-hint',
  /** Priority from 0 to 9; 0 is admitted first. */
  Urgency = 'x-request-urgency',
  /** Id of the engine that caused its group to refuse the request. */
  FaultyTarget = 'at-server',
  Authorization = 'authorization',
  /** Increases when the store comes back from an older copy. */
  StoreEra = 'store-era',
  /** Requests per second that the target takes from all gateways together. */
  RequestLimit = 'server-limit',
  /** `1` if the target is shutting down; its entry in the store may not say so yet. */
  Leaving = 'server-leaving',
  /** VM that holds a duty. */
  DutyHolder = 'x-duty-holder',
  /** Number that rises when the holder of a duty changes. */
  FencingToken = 'x-fencing-token',
}

/** Scheme of the `Authorization` header that carries a customer's API key. */
export const KEY_SCHEME = 'Bearer';
