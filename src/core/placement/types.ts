/** Service and model that a request needs; requests with the same key compete for places. */
export type PlaceKey = string;

/** A request that waits until a target has a free place. */
export interface Waiter {
  /** Rank of the request; 0 is served first. */
  priority: number;
  /** Monotonic time after which the response would be late even if a place became free. */
  giveUpMs: number;
  /** Starts the request if a target has a place; returns whether it has. */
  tryStart(): boolean;
  /** Ends the request because its time is up. */
  giveUp(): void;
}
