import type { AdmissionRefusal } from '../admission/index.ts';
import type { ServingErrorInstance } from '../errors/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Metrics } from '../metrics/index.ts';
import type { TargetObservation } from '../probing/index.ts';
import type { Placement } from '../routing/index.ts';
import type { EngineClient, EngineEndpoint } from '../targets/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { BufferBudget } from './buffer-budget.ts';

/** A completion request of a caller. */
export interface AnswerRequest {
  id: string;
  model: string;
  prompt: string;
  maxTokens: number;
  priority: string;
}

/** Position in a running stream from which a caller can resume; sent as the SSE `id`. */
export interface ResumePoint {
  vm: string;
  group: string;
  generation: number;
  streamId: string;
  attempt: string;
  /** Offset of the first token that the engine sent in this attempt. */
  firstOffset: number;
  /** Offset of the last token that the caller received. */
  offset: number;
}

/** Connection to a caller. Text that it can't accept yet stays in the answer stream. */
export interface AnswerSink {
  /** Writes joined tokens. Returns false when nothing more may be written until `handleDrain`. */
  writeTokens(text: string, offset: number, resumeToken: string): boolean;
  /** Writes a heartbeat comment, with the same result as `writeTokens`. */
  writeHeartbeat(): boolean;
  /** Writes the end event and closes the connection. */
  writeEnd(total: number): void;
  /** Writes the error event and closes the connection. */
  writeError(error: ServingErrorInstance): void;
  /** Returns the number of bytes written that the caller has not read yet. */
  getBufferedBytes(): number;
  /** Closes the connection immediately. */
  close(): void;
  subscribe(listeners: AnswerSinkListeners): void;
}

/** Callbacks of a sink. */
export interface AnswerSinkListeners {
  /** The caller has read what was written, so more can be written. */
  handleDrain(): void;
  /** The caller closed the connection. */
  handleClosed(): void;
}

/** A placement at another target, or why there is none. */
export type PlacementResult =
  | { placement: Placement; refusal?: undefined }
  | { refusal: AdmissionRefusal; placement?: undefined };

/** How an answer ended. */
export enum AnswerOutcome {
  Complete = 'complete',
  /** The caller received an error event. */
  Broken = 'broken',
  /** The caller disconnected, or did not read for `CALLER_WRITE_DEADLINE_MS`. */
  CallerGone = 'caller-gone',
}

/** Dependencies that all answer streams of a daemon share. */
export interface AnswerDependencies {
  timers: TimerService;
  events: Pick<EventRecorder, 'record'>;
  metrics: Pick<Metrics, 'increment'>;
  engine: EngineClient;
  budget: BufferBudget;
  reportObservation(observation: TargetObservation): void;
  createId(): string;
}

/** Dependencies and parameters of one answer stream. */
export interface AnswerOptions {
  dependencies: AnswerDependencies;
  request: AnswerRequest;
  placement: Placement;
  sink: AnswerSink;
  /** Set when the caller resumes a stream that was started by another daemon or connection. */
  resumePoint?: ResumePoint;
  /** Finds another target, avoiding the excluded VMs. */
  acquirePlacement(excludedVms: ReadonlySet<string>): Promise<PlacementResult>;
}

/** A running answer stream. */
export interface AnswerStream {
  /** Resolves when the caller got the whole answer or an error, and the target is released. */
  finished: Promise<AnswerOutcome>;
  /** Returns the number of tokens received from engines so far. */
  countTokens(): number;
  /** Returns the bytes held for this answer: the token log and the buffer of the sink. */
  getHeldBytes(): number;
}

/** Returns the engine endpoint of a placement. */
export function getEngineEndpoint({ target }: Placement): EngineEndpoint {
  const { vm, address, port, group, generation } = target;
  return { vm, address, port, group: group ?? '', generation };
}
