/** Attribute of an event, such as the request or the VM that it concerns. */
export interface EventAttribute {
  name: string;
  value: string;
}

/** Time of a hybrid logical clock: wall milliseconds and a counter for equal milliseconds. */
export interface HybridTime {
  wallMs: number;
  counter: number;
}

/** One recorded event of one process. */
export interface TimelineEvent extends HybridTime {
  process: string;
  sequence: number;
  part: string;
  kind: string;
  attributes: EventAttribute[];
}

/** Hybrid logical clock: an event that follows a received message is later than its sending. */
export interface HybridClock {
  /** Returns a time later than all that were returned or observed before. */
  takeTime(): HybridTime;
  /** Moves the clock past a time received from another process. */
  handleRemoteTime(time: HybridTime): void;
}

/** Bounded record of the events of one process. */
export interface EventRecorder {
  /** Records an event and returns it. */
  record(part: string, kind: string, attributes?: EventAttributes): TimelineEvent;
  /** Adds events of another process, such as the controller beside the daemon. */
  addRemote(events: readonly TimelineEvent[]): void;
  /** Returns the events that match, oldest first. */
  read(filter?: EventFilter): TimelineEvent[];
  /** Calls the listener for each new event. */
  subscribe(listener: (event: TimelineEvent) => void): () => void;
  clock: HybridClock;
}

/** Attribute values by name, as callers of `record` write them. */
export type EventAttributes = Readonly<Record<string, string | number | boolean>>;

/** Selects events of a time line. */
export interface EventFilter {
  attributes?: readonly EventAttribute[];
  sinceWallMs?: number;
  limit?: number;
}
