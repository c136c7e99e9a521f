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
  epoch: number;
  /** Position in the member list; rank 0 is the head, which receives the requests. */
  rank: number;
  state: GroupState;
}

/** One incarnation of a target, as described by its entry in the store. */
export interface Target {
  id: string;
  service: string;
  /** `host:port` of its HTTP interface. */
  address: string;
  availabilityZone: string;
  isDraining: boolean;
  /** Time for which the target remained cold when the entry was written, in ms. */
  coldRemainingMs: number;
  /** Monotonic time at which this process received the entry. */
  receivedMs: number;
  /** Wall-clock time at which the incarnation started; 0 if the entry does not contain it. */
  startedWallMs: number;
  /** Fabric domain of an engine; empty for plain targets. */
  fabricDomain: string;
  /** Models whose weights are stored on the engine's host. */
  stagedModels: string[];
  /** Model that the engine serves or is loading; undefined without one. */
  loadedModel: string | undefined;
  group: GroupMembership | undefined;
}

/** A group of engines, built from the entries of its members. */
export interface EngineGroup {
  name: string;
  epoch: number;
  service: string;
  model: string | undefined;
  fabricDomain: string;
  /** Members by rank; a missing rank has no entry. */
  members: Target[];
  /** Member of rank 0; undefined if its entry is gone. */
  head: Target | undefined;
}
