import type { Target } from '../fleet/index.ts';

/** Header fields as a flat list: name, value, name, value. */
export type HeaderList = string[];

/** A caller's request, decoded from the wire. */
export interface CallerRequest {
  method: string;
  /** Path with query, exactly as the caller sent it. */
  path: string;
  /** Host without port, in lower case. */
  host: string;
  /** Id of this client attempt; undefined if the caller sent none. */
  attemptId: string | undefined;
  /** Time that the caller still waits, as it says. */
  deadlineMs: number | undefined;
  /** Key of a customer. */
  key: string | undefined;
  /** Model that the request asks for. */
  model: string | undefined;
  promptTokens: number;
  /** Last event that the caller has of a stream that it resumes. */
  lastEventId: string | undefined;
  /** Fields that are passed on unchanged. */
  passedHeaders: HeaderList;
}

/** One send of a caller's request to a target. */
export interface TargetRequest {
  request: CallerRequest;
  body: Buffer;
  target: Target;
  remainingMs: number;
  customer: string | undefined;
  /** Event after which the target continues a stream. */
  lastEventId: string | undefined;
}

/** Status line and header fields of a target's answer, decoded from the wire. */
export interface AnswerHead {
  status: number;
  /** Whether the target signed the answer as its own. */
  isSigned: boolean;
  /** Whether the target says that it did not run the request and never will. */
  isNotRun: boolean;
  /** Id of the client attempt that the answer belongs to. */
  attemptId: string | undefined;
  /** Engine that a refusal names as its cause. */
  faultyTargetId: string | undefined;
  /** Whether the body is encoded, so that it is not the target's own body. */
  isEncoded: boolean;
  /** Fields that the caller gets. */
  passedHeaders: HeaderList;
}

/** Translates between the wire and the types of this folder. */
export interface WireFormat {
  parseRequest(method: string, path: string, rawHeaders: readonly string[]): CallerRequest;
  buildTargetHeaders(request: TargetRequest): HeaderList;
  parseAnswerHead(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Fields of an answer of our own that tell when to come back. */
  buildRetryHeaders(retryAfterMs: number): HeaderList;
}

/** How a request ended, from the caller's view. */
export enum Outcome {
  /** The target's whole answer was passed on. */
  Answered = 'answered',
  /** Refused; the request has not run and never will. */
  NotRun = 'not-run',
  /** The request may have run; its answer is lost. */
  Unknown = 'unknown',
  /** The time limit passed before the answer was complete. */
  TimedOut = 'timed-out',
  /** The answer broke off after its first bytes. */
  BrokenOff = 'broken-off',
  /** The caller closed its connection. */
  Abandoned = 'abandoned',
  /** The request itself was refused: unknown route, key or form. */
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
