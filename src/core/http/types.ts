import type { PlacementSource } from '../admission/index.ts';
import type { CallRouter, IdempotentCallRunner } from '../calls/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Metrics } from '../metrics/index.ts';
import type { RoutableTarget, TargetDirectory } from '../probing/index.ts';
import type { InFlightTracker } from '../routing/index.ts';
import type { AnswerDependencies } from '../streams/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Parameters of a query for the entry addresses of a customer. */
export interface AddressQuery {
  customer: string;
  availabilityZone?: string | undefined;
}

/** Options of `createCallerServer`. */
export interface CallerServerOptions {
  /** IP address to listen on. */
  address: string;
  /** TCP port to listen on; 0 chooses a free port. */
  port: number;
  timers: TimerService;
  events: Pick<EventRecorder, 'record'>;
  metrics: Pick<Metrics, 'increment' | 'timing'>;
  /** Returns the body of `GET /v1/addresses`, which includes a new request id prefix. */
  getAddresses(query: AddressQuery): object;
  directory: TargetDirectory;
  /** Finds the target of a running stream; the target may no longer accept new requests. */
  findRunningTarget(vm: string): RoutableTarget | undefined;
  source: PlacementSource;
  inFlight: InFlightTracker;
  answerDependencies: AnswerDependencies;
  router: CallRouter;
  idempotentCalls: IdempotentCallRunner;
  createRequestId(): string;
}

/** HTTP server for callers. */
export interface CallerServer {
  /** Starts listening and returns the port. */
  start(): Promise<number>;
  /** Stops listening and resolves when all streams and calls in flight have ended. */
  close(): Promise<void>;
  /** Returns the number of running completions. */
  countStreams(): number;
  /** Returns the bytes buffered for all running completions. */
  getBufferedBytes(): number;
}

/** Validated headers of a caller's request. */
export interface CallerHeaders {
  customer: string;
  requestId: string | undefined;
  priority: string | undefined;
  isIdempotent: boolean;
  lastEventId: string | undefined;
}
