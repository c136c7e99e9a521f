/** Kinds of requests that callers send. */
export enum RequestClass {
  Stream = 'stream',
  Order = 'order',
  Read = 'read',
}

/** How an answer ended, as its caller saw it. */
export enum AnswerEnd {
  Complete = 'complete',
  /** The connection ended before the answer was whole. */
  Broken = 'broken',
  /** The caller gave up. */
  GivenUp = 'given-up',
}

/** One request of a caller; each attempt has an id of its own. */
export interface SentRequest {
  attemptId: string;
  requestClass: RequestClass;
  gateway: string;
  sentMs: number;
}

/** What a caller got for one attempt. */
export interface SeenAnswer {
  attemptId: string;
  status: number;
  /** Attempt that the body says it belongs to; undefined without a target's body. */
  bodyAttemptId: string | undefined;
  /** Numbers of the events of a stream, in order of arrival. */
  eventNumbers: number[];
  /** Number of the last event, as the first event names it. */
  lastNumber: number | undefined;
  end: AnswerEnd;
  /** Version of the configuration whose effect the answer shows. */
  version: number | undefined;
  endedMs: number;
}

/** One run of a request at a target. */
export interface TargetRun {
  attemptId: string;
  targetId: string;
  /** Event after which a stream continued; 0 for a run from the start. */
  afterEvent: number;
  /** Whether the group of the engine was whole when the run began. */
  isGroupWhole: boolean;
  atMs: number;
}

/** A join of an engine while the head of its former group was open. */
export interface DoubleJoin {
  targetId: string;
  group: string;
  formerGroup: string;
}

/** A planned stop of a gateway, and the processes that ended. */
export interface PlannedStop {
  gateway: string;
  atMs: number;
  endedMs: number | undefined;
  /** Whether another fault hit the gateway or a target before the stop was over. */
  isDisturbed: boolean;
}

/** Everything that callers, targets and the soak itself have seen. */
export interface Ledger {
  requests: Map<string, SentRequest>;
  answers: SeenAnswer[];
  runs: TargetRun[];
  doubleJoins: DoubleJoin[];
  stops: PlannedStop[];
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
  return { requests: new Map(), answers: [], runs: [], doubleJoins: [], stops: [] };
}
