/** What may be repeated of the requests of a route. */
export enum RequestKind {
  Idempotent = 'idempotent',
  NonIdempotent = 'non-idempotent',
  Streaming = 'streaming',
}

/** One service that a route may use, with its share of the route's requests. */
export interface RouteService {
  service: string;
  weight: number;
}

/** A customer route: which requests it selects, and how they are served. */
export interface CustomerRoute {
  name: string;
  host: string;
  pathPrefix: string;
  kind: RequestKind;
  /** Longest time that a request of the route may wait for its final answer. */
  timeoutMs: number;
  /** Objective for the answer, or for the first event of a stream. */
  latencyObjectiveMs: number;
  /** Longest pause between two events of a stream that is still on time. */
  gapObjectiveMs: number | undefined;
  services: RouteService[];
  /** Most targets that one request may be sent to. */
  maxAttempts: number;
  isAnonymousAllowed: boolean;
  /** Whether a stream may be continued on another target after its last event. */
  isResumable: boolean;
}

/** A model that the engines of a service can load, and the size of its groups. */
export interface ModelSpec {
  name: string;
  /** Engines that one group consists of. */
  groupSize: number;
  /** Share of the service's work that asks for the model at the start of the day. */
  initialShare: number;
  /** Factor on all times of a group of this model. */
  pace: number;
  loadMs: number;
  /** Time of a join on an engine that has the model staged. */
  warmJoinMs: number;
}

/** What the engines of a service have in common. */
export interface EngineSpec {
  slots: number;
  models: ModelSpec[];
  /** Most loads from the weight store that may start per second. */
  loadsPerSecond: number;
  /** Concurrent loads beyond which each load takes longer. */
  concurrentLoads: number;
  /** Time from the open order until the group serves. */
  openMs: number;
}

/** A service that routes lead to: plain targets, or engines in groups. */
export interface ServiceSpec {
  name: string;
  /** Requests per second that a cold target tolerates; 0 if its targets are never cold. */
  coldRequestsPerSecond: number;
  engine: EngineSpec | undefined;
}

/** A customer and the keys that its requests may carry. */
export interface Customer {
  name: string;
  keys: string[];
}

/** Bounds of what callers may send, and of how long they may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One immutable version of the configuration; a later version has a higher number. */
export interface ServingConfiguration {
  version: number;
  routes: CustomerRoute[];
  services: ServiceSpec[];
  /** Undefined if requests carry no keys. */
  customers: Customer[] | undefined;
  limits: CallerLimits;
}
