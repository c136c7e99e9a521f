/** Attribute of an event, such as the request or the VM that it concerns. */
export interface EventAttribute {
  name: string;
  value: string;
}

/** Time of a hybrid logical clock: wall-clock milliseconds, and a counter for equal milliseconds. */
export interface HybridTime {
  wallMs: number;
  counter: number;
}

/** An event that a process has recorded. */
export interface TimelineEvent extends HybridTime {
  /** Name of the process that recorded the event. */
  process: string;
  /** Number of the event within its process. */
  sequence: number;
  /** Component that recorded the event. */
  part: string;
  kind: string;
  attributes: EventAttribute[];
}

/** Hybrid logical clock: events that follow a received message are later than its sending. */
export interface HybridClock {
  /** Advances the clock; returns a time later than all times returned or observed before. */
  tick(): HybridTime;
  /** Advances the clock to a time received from another process, if that is later. */
  observeRemoteTime(time: HybridTime): void;
}

/** Bounded buffer of the events of one process. */
export interface EventRecorder {
  /** Records an event and returns it. */
  record(part: string, kind: string, attributes?: EventAttributes): TimelineEvent;
  /** Adds events of another process, such as the controller on the same VM. */
  addRemoteEvents(events: readonly TimelineEvent[]): void;
  /** Returns the events that match the filter, oldest first. */
  read(filter?: EventFilter): TimelineEvent[];
  /** Calls the listener for each event recorded by this process; returns the unsubscribe function. */
  subscribe(listener: (event: TimelineEvent) => void): () => void;
  clock: HybridClock;
}

/** Attribute values by name, as passed to `record`. */
export type EventAttributes = Readonly<Record<string, string | number | boolean>>;

/** Selects events of a timeline; an undefined field matches every event. */
export interface EventFilter {
  /** Attributes that an event must have, all of them. */
  attributes?: readonly EventAttribute[];
  sinceWallMs?: number;
  /** Maximum number of events; the newest ones are returned. */
  limit?: number;
}
