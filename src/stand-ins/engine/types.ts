/** A request for an answer as the member with rank 0 takes it. */
export interface CompletionRequest {
  requestId: string;
  attemptId: string;
  priority: string;
  model: string;
  prompt: string;
  /** Tokens of the whole answer, those of the continuation included. */
  maxTokens: number;
  /** Tokens of this answer that the caller already has. */
  continuation: readonly string[];
}

/** Progress of one answer in the engine. */
export enum StreamState {
  Queued = 'queued',
  Running = 'running',
  Finished = 'finished',
  Cancelled = 'cancelled',
  /** The engine failed before the end. */
  Broken = 'broken',
}

/** One answer of the engine; it continues without a reader and is kept for a while at its end. */
export interface EngineStream {
  id: string;
  request: CompletionRequest;
  state: StreamState;
  /** First offset of this attempt. */
  firstOffset: number;
  /** Offset after the last token generated. */
  endOffset: number;
  /** Offset after the last token read; undefined without a reader. */
  readOffset: number | undefined;
  promptTokens: number;
  /** Time of the first token at the earliest. */
  readyMs: number;
  getText(offset: number): string;
  /** Called when tokens are added or the state changes. */
  listener: (() => void) | undefined;
}

/** Counters that tests read at `GET /counters`. */
export interface EngineCounters {
  completions: number;
  /** Failures because of too many requests while cold. */
  coldOverloads: number;
  /** Failures because held requests exceeded the memory. */
  memoryOverloads: number;
  /** Failures because a member of the replica was missing. */
  memberFailures: number;
  /** Continuations whose tokens are not those of the answer. */
  continuationMismatches: number;
  staleOrders: number;
  ordersApplied: number;
  loads: number;
  cancelled: number;
  resumed: number;
}
