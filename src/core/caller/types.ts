import type { EntryAddress } from '../addresses/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { Outcome } from '../domain-types/index.ts';

/** Address and caller port of an entry daemon. */
export interface EntryEndpoint {
  address: string;
  port: number;
}

/** Options of `createCaller`. */
export interface CallerOptions {
  customer: string;
  /** Availability zone of the caller; nearer addresses come first. */
  availabilityZone?: string;
  /** Daemons that are queried for the entry addresses. */
  seeds: readonly EntryEndpoint[];
  timers: TimerService;
  /** Throws to reject fetched addresses; no request is sent to rejected addresses. */
  checkAddresses?: (addresses: readonly EntryEndpoint[]) => void;
  /** Maximum number of attempts for a completion, or for a call and its lookups; 20 by default. */
  maxAttempts?: number;
}

/** A completion request. */
export interface CompletionRequest {
  model: string;
  prompt: string;
  maxTokens: number;
  /** Called with the text of each chunk of the answer. */
  handleText?: (text: string) => void;
}

/** A complete answer. */
export interface CompletionResult {
  requestId: string;
  text: string;
  /** Number of tokens of the answer, as reported by the last chunk. */
  total: number;
  /** Number of attempts that the answer took; all but the first were retries or resumes. */
  attempts: number;
}

/** A non-idempotent call to a service. */
export interface NonIdempotentCall {
  service: string;
  path: string;
  body: unknown;
}

/** Outcome of a non-idempotent call. */
export interface NonIdempotentCallResult {
  requestId: string;
  outcome: Outcome;
  /** HTTP status of the last response; 0 when there was none. */
  status: number;
  /** Body of the last response, or the problem of the last failed attempt. */
  body: string;
}

/**
 * Client that caches entry addresses, resumes broken streams and sends non-idempotent calls at most
 * once.
 */
export interface Caller {
  /** Returns the entry addresses, which are cached for their lifetime. */
  fetchAddresses(): Promise<EntryAddress[]>;
  runCompletion(request: CompletionRequest): Promise<CompletionResult>;
  /**
   * Sends a non-idempotent call once and looks its outcome up until it is known or all attempts are
   * used.
   */
  sendNonIdempotentCall(request: NonIdempotentCall): Promise<NonIdempotentCallResult>;
  close(): Promise<void>;
}
