import type { EntryAddress } from '../addresses/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { Outcome } from '../world/index.ts';

/** A place that answers `GET /v1/addresses`. */
export interface CallerSeed {
  address: string;
  port: number;
}

/** What a caller needs. */
export interface CallerOptions {
  customer: string;
  /** Availability zone of the caller; nearer addresses come first. */
  availabilityZone?: string;
  seeds: readonly CallerSeed[];
  timers: TimerService;
  /** Refuses addresses of an answer by throwing; nothing is ever sent to refused addresses. */
  checkAddresses?: (addresses: readonly CallerSeed[]) => void;
  /** Attempts of a stream or a lookup before the caller gives up. */
  maxAttempts?: number;
}

/** A completion that the caller asks for. */
export interface CompletionRequest {
  model: string;
  prompt: string;
  maxTokens: number;
  /** Called with each part of the answer. */
  handleText?: (text: string) => void;
}

/** A whole answer. */
export interface CompletionResult {
  requestId: string;
  text: string;
  /** Tokens of the answer as the end event gives it. */
  total: number;
  /** Connections that the answer took. */
  attempts: number;
}

/** A call to a plain service that must not run twice. */
export interface OrderRequest {
  service: string;
  path: string;
  body: unknown;
}

/** How an order ended. */
export interface OrderResult {
  requestId: string;
  outcome: Outcome;
  status: number;
  body: string;
}

/** A caller that keeps address answers, resumes streams and never doubles an order. */
export interface Caller {
  /** Returns the addresses to use; the answer is kept for its lifetime. */
  fetchAddresses(): Promise<EntryAddress[]>;
  runCompletion(request: CompletionRequest): Promise<CompletionResult>;
  /** Sends an order under one id until its outcome is settled or stays unknown. */
  sendOrder(request: OrderRequest): Promise<OrderResult>;
  close(): Promise<void>;
}
