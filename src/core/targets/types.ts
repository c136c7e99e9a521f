import type { TargetLoad } from '../domain-types/index.ts';

/** Network address of a target. */
export interface TargetEndpoint {
  vm: string;
  address: string;
  port: number;
}

/** Address of an engine, with the group and generation that its responses must name. */
export interface EngineEndpoint extends TargetEndpoint {
  group: string;
  generation: number;
}

/** Request and attempt ids that every event of an attempt carries. */
export interface AttemptIds {
  request: string;
  attempt: string;
}

/** Request to start a completion on an engine. */
export interface EngineCompletionRequest extends AttemptIds {
  priority: string;
  model: string;
  prompt: string;
  /** Maximum number of tokens in the whole answer, including those of the continuation. */
  maxTokens: number;
  /** Answer tokens that earlier attempts produced. Token offsets start after them. */
  continuation: readonly string[];
}

/** Request to read a running engine stream again, starting at an offset. */
export interface EngineResumeRequest extends AttemptIds {
  streamId: string;
  offset: number;
}

/** Values of the response headers that open an engine stream. */
export interface EngineStreamHeaders {
  streamId: string;
  instanceId: string;
  warm: boolean;
  load: TargetLoad | undefined;
}

/** One token of an answer, with its offset counted from the start of the answer. */
export interface TokenEvent extends AttemptIds {
  offset: number;
  text: string;
}

/** End of an answer. The total counts all tokens of the answer. */
export interface EndEvent extends AttemptIds {
  total: number;
}

/** Why a target gave no usable response. */
export enum TargetFailureKind {
  /** The connection was never established, so nothing was sent. */
  NotConnected = 'not-connected',
  /** The connection broke, or the response ended without an end event. */
  Broken = 'broken',
  /** Neither an event nor a heartbeat arrived before the deadline. */
  Silent = 'silent',
  /** The target responded with a status other than 200. */
  Refused = 'refused',
  /** The engine does not know the stream, for example after a restart. */
  StreamUnknown = 'stream-unknown',
  /** The response names another group or generation and was dropped. */
  WrongGeneration = 'wrong-generation',
}

/** A failure of a target, as observed by the client. */
export interface TargetFailure {
  kind: TargetFailureKind;
  problem: string;
  /** HTTP status when the target refused the request. */
  status?: number;
}

/** Callbacks of an engine stream. None is called after a failure or after `close`. */
export interface EngineStreamHandlers {
  handleOpen(headers: EngineStreamHeaders): void;
  handleToken(event: TokenEvent): void;
  handleEnd(event: EndEvent): void;
  handleFailure(failure: TargetFailure): void;
}

/** A connection that reads one stream from an engine. */
export interface EngineStream {
  /** Stops reading. The engine keeps the stream running until `stopStream` is called. */
  close(): void;
}

/** Starts, resumes and stops streams on engines. */
export interface EngineClient {
  startStream(
    endpoint: EngineEndpoint,
    completion: EngineCompletionRequest,
    handlers: EngineStreamHandlers,
  ): EngineStream;
  /** Reads a running stream from an offset over a new connection. */
  resumeStream(
    endpoint: EngineEndpoint,
    resume: EngineResumeRequest,
    handlers: EngineStreamHandlers,
  ): EngineStream;
  /** Cancels a stream on the engine. Resolves to false when the engine does not confirm it. */
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
  /** False when the call must not be repeated; it then uses a dedicated connection. */
  idempotent: boolean;
}

/** Response of a plain service. */
export interface ServiceResponse {
  status: number;
  headers: CallHeader[];
  body: Uint8Array;
}

/** Result of a service call: the response, or the failure. */
export type ServiceResult =
  | { response: ServiceResponse; failure?: undefined }
  | {
      response?: undefined;
      failure: TargetFailure;
      /** False only when it is certain that no byte of the call was sent. */
      sent: boolean;
    };

/** Sends calls to plain services. */
export interface ServiceClient {
  sendCall(endpoint: TargetEndpoint, call: ServiceCall): Promise<ServiceResult>;
  close(): Promise<void>;
}
