/** State of an engine in its group, as the engine reports it. */
export enum GroupState {
  Joining = 'joining',
  Ready = 'ready',
  Open = 'open',
  Closing = 'closing',
  Broken = 'broken',
}

/** Membership of an engine in a group. */
export interface GroupMembership {
  name: string;
  /** Later groups have higher epochs; an engine rejects orders with a lower one than it knows. */
  epoch: number;
  /** Position in the member list; rank 0 is the head, which receives the requests. */
  rank: number;
  state: GroupState;
}

/** One process start (incarnation) of a target, as described by its entry in the store. */
export interface Target {
  id: string;
  service: string;
  /** `host:port` of its HTTP interface. */
  address: string;
  availabilityZone: string;
  /** Whether the target is shutting down and must get no new requests. */
  isLeaving: boolean;
  /**
   * Time for which the target remained cold when the entry was written, in ms. A cold target has
   * started recently and tolerates only a limited number of requests per second.
   */
  coldRemainingMs: number;
  /** Monotonic time at which this process received the entry. */
  receivedMs: number;
  /** Wall-clock time at which this process start happened; 0 if the entry does not contain it. */
  startedWallMs: number;
  /** Fabric domain of an engine; empty for plain targets. */
  fabricDomain: string;
  /** Models whose weights are stored on the engine's host. */
  stagedModels: string[];
  /** Model that the engine serves or is loading, or served last; undefined without one. */
  currentModel: string | undefined;
  group: GroupMembership | undefined;
}

/** A group of engines, built from the entries of its members. */
export interface EngineGroup {
  name: string;
  epoch: number;
  service: string;
  model: string | undefined;
  fabricDomain: string;
  /** Members, indexed by rank; an element is undefined if the member's entry is missing. */
  membersByRank: Target[];
  /** Member of rank 0, which receives the requests; undefined if its entry is missing. */
  headEngine: Target | undefined;
}
