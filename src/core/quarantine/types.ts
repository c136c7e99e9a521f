import type { Target } from '../fleet/index.ts';

/** Names a part of prompts: the service and the id of the part, separated by a slash. */
export type PartKey = string;

/** A request with a prompt, as far as the quarantine needs to know it. */
export interface PromptRequest {
  /** Id of the caller's attempt. */
  requestId: string;
  service: string;
  /** Customer that the request belongs to; undefined if it is anonymous. */
  customer: string | undefined;
  /** Ids of the parts that other requests may hold too, in order. */
  sharedPartIds: readonly string[];
}

/** A request whose connection its target closed before the response was complete. */
export interface LostRequest extends Omit<PromptRequest, 'service'> {
  /** Whether the response had begun. */
  hasBegun: boolean;
}

/** The end of a target's process, with the requests of this gateway that were lost with it. */
export interface TargetCrash {
  target: Target;
  /** Monotonic time at which the first of the requests was lost. */
  atMs: number;
  requests: LostRequest[];
}

/** A request that may have crashed its target, with the parts that may be the reason. */
export interface Suspect {
  /** Empty for an anonymous request. */
  customer: string;
  parts: readonly PartKey[];
}

/** What a gateway knows of one crash; several gateways may see the same one. */
export interface CrashReport {
  /** Names one process start of the target. */
  targetKey: string;
  suspects: readonly Suspect[];
  ageMs: number;
}

/** Tells that an answer has begun with a part, which shows that the part crashes nothing. */
export interface PartBegin {
  part: PartKey;
  ageMs: number;
}

/** Tells that requests with all of these parts are refused. */
export interface QuarantineNotice {
  parts: readonly PartKey[];
  /** The customers whose requests crashed targets; with two or more, it holds for all customers. */
  customers: readonly string[];
  crashes: number;
  /** Time since the last crash. */
  ageMs: number;
}

/** What gateways tell each other about crashes and parts of prompts. */
export interface PromptEvidence {
  crashes: readonly CrashReport[];
  begins: readonly PartBegin[];
  notices: readonly QuarantineNotice[];
}

/** Evidence of a gateway that has seen no crash lately. */
export const NO_EVIDENCE: PromptEvidence = { crashes: [], begins: [], notices: [] };

/** Follows one request with a prompt. */
export interface PromptGuard {
  /** Whether the request may be sent to a target now; false if its prompt is in quarantine. */
  admit(): boolean;
  /** Returns when the caller of a request that was not admitted should return. */
  getRetryAfterMs(): number;
  /** Records that the answer has begun. */
  recordBegun(): void;
  /** Records that a target closed the connection before the response was complete. */
  recordLost(target: Target, hasBegun: boolean): void;
  /** Ends the guard; it must be called once the request is over. */
  end(): void;
}

/** A change of what is in quarantine, for logs. */
export enum QuarantineChange {
  Added = 'added',
  /** Another gateway has added it. */
  Learned = 'learned',
  /** A single request is sent to find out whether the parts still crash targets. */
  Tried = 'tried',
  /** An answer has begun with one of the parts. */
  Cleared = 'cleared',
}

/** State of a request that the quarantine follows until it ends. */
export interface FollowedRequest {
  customer: string;
  parts: readonly PartKey[];
  hasBegun: boolean;
  /** Whether a target was lost under it. */
  wasLost: boolean;
  /** Ends the request without an answer of a target. */
  refuse(): void;
}

/** Returns whether a prompt has all of the wanted parts. */
export function hasAllParts(parts: readonly PartKey[], wanted: readonly PartKey[]): boolean {
  return wanted.every((part) => parts.includes(part));
}
