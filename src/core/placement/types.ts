/** Service and model that a request needs; requests with the same key compete for places. */
export type PlaceKey = string;

/** Requests that are served about as often as others, however few or large they are. */
export interface RequestClass {
  key: PlaceKey;
  /** Name of the route. */
  route: string;
  /** Name of the customer; undefined for an anonymous request. */
  customer: string | undefined;
  /** Whether the request is among the largest of its route. */
  isLarge: boolean;
}

/** What is known of a request's work when it waits. */
export interface WaitingLoad {
  /** Time for which the request will take a slot, in ms. */
  workMs: number;
  /** Whether the work comes from the sizes of this request; else it is the mean of all. */
  isTold: boolean;
  requestClass: RequestClass;
}

/** Why a waiting request gets no place. */
export enum WaitEnd {
  TimeIsUp = 'time-is-up',
  /** It was refused in favour of another one, as its refusal costs callers less. */
  Displaced = 'displaced',
}

/** Properties by which waiting requests are sorted. */
export interface WaitingRank {
  /** Rank of the request; 0 is served first. */
  priority: number;
  /** Whether requests of the same rank go first, as long as there is too little room for all. */
  isYielding?: boolean | undefined;
  /** Monotonic time after which the response would be late even if a place became free. */
  giveUpMs: number;
}

/** A request that waits until a target has a free place. */
export interface Waiter extends WaitingRank {
  /** Undefined for a request at targets without slots. */
  load?: WaitingLoad | undefined;
  /** Starts the request if a target has a place; returns whether it has. */
  tryStart(): boolean;
  /** Ends the request, which has been removed from its line. */
  giveUp(end: WaitEnd): void;
}
