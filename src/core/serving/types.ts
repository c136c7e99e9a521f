/** Kind of the requests of a route; it decides whether they may be sent again. */
export enum RequestKind {
  Idempotent = 'idempotent',
  NonIdempotent = 'non-idempotent',
  Streaming = 'streaming',
}

/** A service that a route may use, with its weight among the services of the route. */
export interface RouteService {
  service: string;
  weight: number;
}

/** A customer route: which requests match it, and how they are served. */
export interface CustomerRoute {
  name: string;
  host: string;
  pathPrefix: string;
  kind: RequestKind;
  /** Longest time that a request of the route may wait for its complete response. */
  timeoutMs: number;
  /** Latency objective for the response, or for the first event of a stream. */
  latencyObjectiveMs: number;
  /** Rank among the requests that wait for a target; 0 is served first. */
  priority: number;
  /** Objective for the longest pause between two events of a stream; undefined without one. */
  gapObjectiveMs: number | undefined;
  services: RouteService[];
  /** Most targets that may start to process one request; refusals do not count. */
  maxAttempts: number;
  /** Whether requests without a customer's key are accepted. */
  isAnonymousAllowed: boolean;
  /** Whether a stream may be resumed on another target after its last event. */
  isResumable: boolean;
}

/** A model that the engines of a service can load, and the size of its groups. */
export interface ModelSpec {
  name: string;
  /** Number of engines in one group. */
  groupSize: number;
  /** Weight of the model when the engines of the service are divided among its models. */
  engineShareWeight: number;
  /** Factor by which all durations of a group of this model are multiplied. */
  pace: number;
  /** Duration of a load from the weight store. */
  loadMs: number;
  /** Duration of a join on an engine that has the model staged. */
  stagedJoinMs: number;
}

/**
 * Times that a service publishes for its engines. They hold for a group whose model has a pace of 1;
 * a service may publish some of them or none.
 */
export interface EngineTiming {
  /** Time of one step, in which each request that is being answered gets a token, in ms. */
  stepMs?: number | undefined;
  /** Time that each request that is being answered adds to a step, in ms. */
  perSequenceMs?: number | undefined;
  /** Time that 1,000 tokens of context of such a request add to a step, in ms. */
  contextMsPerThousandTokens?: number | undefined;
  /** Prompt tokens that are read per second. */
  readTokensPerSecond?: number | undefined;
  /** Time for a million pairs of a prompt token and an earlier one, in ms. */
  millionPairsMs?: number | undefined;
  /** Mean prompt and answer of the service's requests, in tokens. */
  usualPromptTokens?: number | undefined;
  usualAnswerTokens?: number | undefined;
}

/** Properties that all engines of a service share. */
export interface EngineSpec {
  /** Number of requests that a group can process at the same time. */
  slots: number;
  models: ModelSpec[];
  /** Maximum loads from the weight store that may start per second. */
  loadsPerSecond: number;
  /** Number of concurrent loads above which each load takes longer. */
  maxUnslowedLoads: number;
  /** Time from the open order until the group serves, in ms. */
  openMs: number;
  /** Undefined if the service publishes no times of its engines. */
  timing?: EngineTiming | undefined;
}

/** A service that routes refer to; its targets are independent, or engines in groups. */
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

/** Limits on the size of callers' requests and on the time that they may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  /** Time within which the complete header must arrive. */
  headerTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  idleTimeoutMs: number;
}

/** An immutable version of the configuration; later versions have higher numbers. */
export interface ServingConfiguration {
  version: number;
  routes: CustomerRoute[];
  services: ServiceSpec[];
  /** Undefined if keys are not checked. */
  customers: Customer[] | undefined;
  limits: CallerLimits;
}
