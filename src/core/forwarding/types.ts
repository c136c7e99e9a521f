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
  attemptId: string | undefined;
  /** Time for which the caller says that it will wait, in ms. */
  deadlineMs: number | undefined;
  /** API key of a customer. */
  key: string | undefined;
  /** Model that the request asks for. */
  model: string | undefined;
  promptTokens: number;
  /** Id of the last event that the caller received of a stream that it resumes. */
  lastEventId: string | undefined;
  /** Fields that are forwarded to the target unchanged. */
  forwardedHeaders: HeaderList;
}

/** One send of a caller's request to a target. */
export interface TargetRequest {
  request: CallerRequest;
  body: Buffer;
  target: Target;
  remainingMs: number;
  customer: string | undefined;
  /** Id of the event after which the target resumes a stream. */
  lastEventId: string | undefined;
}

/** Status and header fields of a target's response, parsed from HTTP. */
export interface ResponseHead {
  status: number;
  /** Whether the response carries the target's signature. */
  isSigned: boolean;
  /** Whether the target states that it has not run the request and never will. */
  isNotRun: boolean;
  /** Id of the caller's attempt that the response belongs to. */
  attemptId: string | undefined;
  /** Id of the engine that a refusal names as its cause. */
  faultyTargetId: string | undefined;
  /** Whether the body has a content encoding, so that it is not as the target created it. */
  isEncoded: boolean;
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
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  UnknownKey = 'unknown-key',
  NoTarget = 'no-target',
  AllBusy = 'all-busy',
  RetryBudget = 'retry-budget',
  AttemptsUsed = 'attempts-used',
  TimeLimit = 'time-limit',
  Stopping = 'stopping',
  TargetFailed = 'target-failed',
  TooLarge = 'too-large',
}
