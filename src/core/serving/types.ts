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

/** Published durations of the work of an engine; those of a model are multiplied by its pace. */
export interface StepModel {
  /** Duration of a step that writes one token for each request, without any request. */
  stepMs: number;
  /** Time that each request in progress adds to a step. */
  perRequestMs: number;
  /** Time that each 1,000 tokens of context add to a step. */
  perKiloTokenMs: number;
  /** Prompt tokens read per second. */
  readTokensPerSecond: number;
  /** Time for a million pairs of a prompt token and an earlier one. */
  millionPairsMs: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
  /** Usual tokens of a prompt and of an answer of this service. */
  usualPromptTokens: number;
  usualAnswerTokens: number;
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
  /** Undefined if the configuration does not publish it. */
  stepModel?: StepModel | undefined;
}

/** Bounds on the number of targets that is ordered for each availability zone. */
export interface TargetScaling {
  minTargets: number;
  maxTargets: number;
  /** Time until a new target runs. */
  bootMs: number;
}

/** A service that routes refer to; its targets are independent, or engines in groups. */
export interface ServiceSpec {
  name: string;
  /** Requests per second that a cold target tolerates; 0 if its targets are never cold. */
  coldRequestsPerSecond: number;
  engine: EngineSpec | undefined;
  /** Undefined if the number of targets is not ordered. */
  scaling?: TargetScaling | undefined;
  /** Why the bounds that the configuration states are not usable. */
  scalingProblem?: string | undefined;
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
