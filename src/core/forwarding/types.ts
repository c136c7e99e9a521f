import type { TargetAdvice } from '../advisories/index.ts';
import type { Target } from '../fleet/index.ts';

/** Header fields as a flat list: name, value, name, value. */
export type HeaderList = string[];

/** A caller's request, parsed from HTTP. */
export interface CallerRequest {
  method: string;
  /** Path with query, exactly as the caller sent it. */
  path: string;
  /** Host without port, in lower case. */
  host: string;
  /** Id of the caller's attempt; undefined if the caller sent none. */
  callerAttemptId: string | undefined;
  /** Time for which the caller says that it will wait, in ms. */
  deadlineMs: number | undefined;
  /** API key of a customer. */
  key: string | undefined;
  /** Model that the request asks for. */
  model: string | undefined;
  /** Size of the prompt, as the caller says; 0 if it says none that can be read. */
  promptTokens: number;
  /** Most tokens that the answer may have. */
  maxAnswerTokens?: number | undefined;
  /** Tokens of the answer that the caller expects; often far off. */
  expectedAnswerTokens?: number | undefined;
  /** Ids of the parts of the prompt that other requests may hold too, in order. */
  sharedPartIds: readonly string[];
  /** Id of the last event that the caller had received, if it resumes a stream itself. */
  lastEventId: string | undefined;
  /** Fields that are forwarded to the target unchanged. */
  forwardedHeaders: HeaderList;
}

/** A caller's request as it is sent to one target. */
export interface TargetRequest {
  request: CallerRequest;
  body: Buffer;
  target: Target;
  remainingMs: number;
  customer: string | undefined;
  /**
   * Id of the event after which the target resumes a stream: the last one that this gateway
   * forwarded, or else the last one that the caller had received.
   */
  lastEventId: string | undefined;
  /** Whether the target should process it before others, because an earlier target failed it. */
  isUrgent: boolean;
}

/** Status and header fields of a target's response, parsed from HTTP. */
export interface ResponseHead {
  status: number;
  /** Whether the response carries the target's signature. */
  isSigned: boolean;
  /** Whether the target states that it has not run the request and never will. */
  isNotRun: boolean;
  /** Id of the caller's attempt that the response belongs to, as stated by the target. */
  callerAttemptId: string | undefined;
  /** Id of the engine that a refusal names as its cause. */
  faultyTargetId: string | undefined;
  /** Whether the body has a content encoding, so that it is not as the target created it. */
  isEncoded: boolean;
  /** What the target says of itself. */
  advice: TargetAdvice;
  /** Fields that are forwarded to the caller. */
  forwardedHeaders: HeaderList;
}

/** Translates between HTTP header fields and the types of this folder. */
export interface WireFormat {
  parseRequest(method: string, path: string, rawHeaders: readonly string[]): CallerRequest;
  buildTargetHeaders(request: TargetRequest): HeaderList;
  parseResponseHead(status: number, rawHeaders: readonly string[]): ResponseHead;
  /** Returns the fields that tell a caller of a refused request when to retry. */
  buildRetryHeaders(retryAfterMs: number): HeaderList;
}

/** How a request ended from the caller's point of view. */
export enum Outcome {
  /** The target's complete response was forwarded. */
  Answered = 'answered',
  /** The request was refused; it has not run and never will. */
  NotRun = 'not-run',
  /** The request may have run; its response is lost. */
  Unknown = 'unknown',
  /** The time limit passed before a response arrived, and the request may have run. */
  TimedOut = 'timed-out',
  /** The response was aborted after its first bytes. */
  BrokenOff = 'broken-off',
  /** The caller closed its connection. */
  Abandoned = 'abandoned',
  /** The request itself was rejected, e.g. because of an unknown route or key. */
  Rejected = 'rejected',
}

/** Why a request was refused or has failed. */
export enum FailureReason {
  /** This gateway has no configuration yet. */
  NoConfiguration = 'no-configuration',
  /** The request is not allowed by a configuration that may be outdated. */
  OutdatedConfiguration = 'outdated-configuration',
  /** No route matches the request. */
  NoRoute = 'no-route',
  /** The request has no key of a customer, and its route does not allow anonymous requests. */
  UnknownKey = 'unknown-key',
  /** No target can be used for the request. */
  NoTarget = 'no-target',
  /** All targets hold as many requests as they can process in time. */
  TargetsFull = 'targets-full',
  /** Refused while it waited, in favour of a request whose refusal would cost callers more. */
  Displaced = 'displaced',
  /** All targets limit their requests or want none for a time, and none takes one more in time. */
  TargetsLimited = 'targets-limited',
  /** A target refused the request, which may not be sent to another one. */
  RefusedByTarget = 'all-busy',
  /** The retry budget of the service was used up. */
  RetryBudget = 'retry-budget',
  /** The request was sent to as many targets as allowed. */
  AttemptsUsed = 'attempts-used',
  /** The time limit of the request passed. */
  TimeLimit = 'time-limit',
  /** This gateway has no connection left to send the request to a target. */
  NoConnection = 'no-connection',
  /** This gateway is stopping. */
  Stopping = 'stopping',
  /** A target failed the request, which may not be sent to another one. */
  TargetFailed = 'target-failed',
  /** The request cannot be written as HTTP to a target. */
  Unsendable = 'unsendable',
  /** The prompt holds parts that have crashed targets. */
  Quarantined = 'quarantined',
  /** The body of the request is larger than the configuration allows. */
  TooLarge = 'too-large',
  /** The memory budget has no room for the request. */
  MemoryFull = 'memory-full',
  /** The connection of the caller has as many requests in progress as it may. */
  TooManyPipelined = 'too-many-pipelined',
  /** The caller did not send the whole body in time. */
  BodyTimeout = 'body-timeout',
}
