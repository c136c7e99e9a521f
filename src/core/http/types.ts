import type { PlacementSource } from '../admission/index.ts';
import type { CallRouter, IdempotentCalls } from '../calls/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Metrics } from '../metrics/index.ts';
import type { RoutableTarget, TargetDirectory } from '../probing/index.ts';
import type { InFlightTracker } from '../routing/index.ts';
import type { AnswerDependencies } from '../streams/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Question for the entry addresses of a customer. */
export interface AddressQuery {
  customer: string;
  availabilityZone?: string | undefined;
}

/** What the server for callers needs. */
export interface CallerServerOptions {
  /** IP address and port to listen on; port 0 chooses a free one. */
  address: string;
  port: number;
  timers: TimerService;
  events: Pick<EventRecorder, 'record'>;
  metrics: Pick<Metrics, 'increment' | 'timing'>;
  /** Answers `GET /v1/addresses`, with a new request id prefix. */
  getAddresses(query: AddressQuery): object;
  directory: TargetDirectory;
  /** Finds the target of a running stream, which may take no new work any more. */
  findTarget(vm: string): RoutableTarget | undefined;
  source: PlacementSource;
  inFlight: InFlightTracker;
  answers: AnswerDependencies;
  router: CallRouter;
  idempotent: IdempotentCalls;
  createId(): string;
}

/** The server for callers. */
export interface CallerServer {
  /** Starts listening and returns the port. */
  start(): Promise<number>;
  /** Stops listening and resolves when all answers and calls in flight have ended. */
  close(): Promise<void>;
  countStreams(): number;
  /** Bytes held for all running answers. */
  getHeldBytes(): number;
}

/** Headers that a caller sends. */
export interface CallerHeaders {
  customer: string;
  requestId: string | undefined;
  priority: string | undefined;
  isIdempotent: boolean;
  lastEventId: string | undefined;
}
