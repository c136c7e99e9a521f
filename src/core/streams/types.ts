import type { AdmissionRefusal } from '../admission/index.ts';
import type { ServingErrorInstance } from '../errors/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Metrics } from '../metrics/index.ts';
import type { TargetSign } from '../probing/index.ts';
import type { Placement } from '../routing/index.ts';
import type { EngineClient, EngineEndpoint } from '../targets/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { BufferBudget } from './buffer-budget.ts';

/** A completion as the caller asked for it. */
export interface AnswerRequest {
  id: string;
  model: string;
  prompt: string;
  maxTokens: number;
  priority: string;
}

/** Place in a running stream from which a caller continues; sent as SSE `id`. */
export interface ResumePoint {
  vm: string;
  group: string;
  generation: number;
  streamId: string;
  attempt: string;
  /** First offset that the engine sent in this attempt. */
  firstOffset: number;
  /** Offset of the last token that the caller received. */
  offset: number;
}

/** Connection to a caller. Text that it does not take yet stays in the stream. */
export interface AnswerSink {
  /** Writes joined tokens; false when the caller must first read what was written. */
  writeTokens(text: string, offset: number, resumeToken: string): boolean;
  writeHeartbeat(): boolean;
  /** Writes the end and closes the connection. */
  writeEnd(total: number): void;
  /** Writes the error event and closes the connection. */
  writeError(error: ServingErrorInstance): void;
  /** Bytes written that the caller has not read yet. */
  getBufferedBytes(): number;
  /** Breaks the connection. */
  close(): void;
  subscribe(listeners: AnswerSinkListeners): void;
}

/** Called by a sink. */
export interface AnswerSinkListeners {
  handleDrain(): void;
  /** The caller closed the connection. */
  handleClosed(): void;
}

/** Result of looking for another target. */
export type PlacementResult =
  | { placement: Placement; refusal?: undefined }
  | { refusal: AdmissionRefusal; placement?: undefined };

/** How an answer ended. */
export enum AnswerEnd {
  Complete = 'complete',
  /** The caller got an error event. */
  Broken = 'broken',
  /** The caller left or read nothing for too long. */
  CallerGone = 'caller-gone',
}

/** Parts that all answers of a daemon share. */
export interface AnswerParts {
  timers: TimerService;
  events: Pick<EventRecorder, 'record'>;
  metrics: Pick<Metrics, 'increment'>;
  engine: EngineClient;
  budget: BufferBudget;
  handleSign(sign: TargetSign): void;
  createId(): string;
}

/** One answer. */
export interface AnswerOptions {
  parts: AnswerParts;
  request: AnswerRequest;
  placement: Placement;
  sink: AnswerSink;
  /** Set when the caller continues a stream that another daemon or connection began. */
  resumePoint?: ResumePoint;
  /** Finds another target, without the excluded VMs. */
  acquirePlacement(excludedVms: ReadonlySet<string>): Promise<PlacementResult>;
}

/** A running answer. */
export interface AnswerStream {
  /** Resolves when the caller has the whole answer or an error, and the target is released. */
  finished: Promise<AnswerEnd>;
  /** Tokens produced so far. */
  countTokens(): number;
  /** Bytes held for this answer: text, and what the sink has not sent. */
  getHeldBytes(): number;
}

/** Returns the endpoint of a placement. */
export function getEngineEndpoint({ target }: Placement): EngineEndpoint {
  const { vm, address, port, group, generation } = target;
  return { vm, address, port, group: group ?? '', generation };
}
