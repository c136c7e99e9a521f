import type { TargetLoad } from '../world/index.ts';

/** Address of a target that a client connects to. */
export interface TargetEndpoint {
  vm: string;
  address: string;
  port: number;
}

/** Group and generation that every answer of an engine must name. */
export interface EngineEndpoint extends TargetEndpoint {
  group: string;
  generation: number;
}

/** Ids that every event of one attempt must carry. */
export interface AttemptIds {
  request: string;
  attempt: string;
}

/** A completion to be started at an engine. */
export interface EngineCompletion extends AttemptIds {
  priority: string;
  model: string;
  prompt: string;
  /** Tokens of the whole answer, those of the continuation included. */
  maxTokens: number;
  /** Tokens of the answer that earlier attempts produced; offsets start after them. */
  continuation: readonly string[];
}

/** A stream at an engine that is read again from an offset. */
export interface EngineResume extends AttemptIds {
  streamId: string;
  offset: number;
}

/** How an engine answered a request for a stream. */
export interface EngineOpening {
  streamId: string;
  instanceId: string;
  warm: boolean;
  load: TargetLoad | undefined;
}

/** One token of an answer. */
export interface TokenEvent extends AttemptIds {
  offset: number;
  text: string;
}

/** End of an answer; the total counts all tokens of the answer. */
export interface EndEvent extends AttemptIds {
  total: number;
}

/** Why a target gave no usable answer. */
export enum TargetFailureKind {
  /** The connection was never established, so no byte left. */
  NotConnected = 'not-connected',
  /** The connection broke, or the answer ended without an end event. */
  Broken = 'broken',
  /** Neither an event nor a heartbeat arrived before the deadline. */
  Silent = 'silent',
  /** The target answered with another status than 200. */
  Refused = 'refused',
  /** The engine does not know the stream, for example after a restart. */
  StreamUnknown = 'stream-unknown',
  /** The answer names another group or generation and was dropped. */
  WrongGeneration = 'wrong-generation',
}

/** A failure of a target as its client saw it. */
export interface TargetFailure {
  kind: TargetFailureKind;
  problem: string;
  /** HTTP status of a refusal. */
  status?: number;
}

/** Receives what an engine sends; nothing is called after a failure or after `close`. */
export interface EngineStreamHandlers {
  handleOpen(opening: EngineOpening): void;
  handleToken(event: TokenEvent): void;
  handleEnd(event: EndEvent): void;
  handleFailure(failure: TargetFailure): void;
}

/** A connection that reads one stream of an engine. */
export interface EngineStream {
  /** Stops reading. The stream goes on at the engine until it is stopped there. */
  close(): void;
}

/** Reads, resumes and stops streams at engines. */
export interface EngineClient {
  startStream(
    endpoint: EngineEndpoint,
    completion: EngineCompletion,
    handlers: EngineStreamHandlers,
  ): EngineStream;
  /** Reads a running stream again from an offset, through a new connection. */
  resumeStream(
    endpoint: EngineEndpoint,
    resume: EngineResume,
    handlers: EngineStreamHandlers,
  ): EngineStream;
  /** Cancels a stream at the engine; false when the engine did not confirm it. */
  stopStream(endpoint: EngineEndpoint, streamId: string): Promise<boolean>;
}

/** A header of a service call. */
export interface CallHeader {
  name: string;
  value: string;
}

/** A call to a plain service. */
export interface ServiceCall {
  requestId: string;
  method: string;
  /** Path and query string, starting with a slash. */
  path: string;
  headers: readonly CallHeader[];
  body: Uint8Array;
  timeoutMs: number;
  /** A call that must not be repeated uses a connection of its own. */
  idempotent: boolean;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  status: number;
  headers: CallHeader[];
  body: Uint8Array;
}

/** What is known of a service call after it was tried. */
export type ServiceResult =
  | { answer: ServiceAnswer; failure?: undefined }
  | {
      answer?: undefined;
      failure: TargetFailure;
      /** False only when no byte of the call can have left this process. */
      sent: boolean;
    };

/** Sends calls to plain services. */
export interface ServiceClient {
  sendCall(endpoint: TargetEndpoint, call: ServiceCall): Promise<ServiceResult>;
  close(): Promise<void>;
}
