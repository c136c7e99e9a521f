/** State of the group that an engine belongs to, as the engine reports it. */
export enum GroupState {
  Joining = 'joining',
  Ready = 'ready',
  Open = 'open',
  Closing = 'closing',
  Broken = 'broken',
}

/** The group that an engine belongs to. */
export interface GroupMembership {
  name: string;
  epoch: number;
  /** Position in the member list; rank 0 is the head, which takes the requests. */
  rank: number;
  state: GroupState;
}

/** One incarnation of a target, as its entry in the store describes it. */
export interface Target {
  id: string;
  service: string;
  /** `host:port` of its HTTP interface. */
  address: string;
  availabilityZone: string;
  isDraining: boolean;
  /** How much longer the target was cold when the entry was written. */
  coldRemainingMs: number;
  /** Monotonic time at which this process received the entry. */
  receivedMs: number;
  /** Wall time at which the incarnation started; 0 if the entry does not name it. */
  startedWallMs: number;
  /** Fabric domain of an engine; empty for plain targets. */
  fabricDomain: string;
  /** Models whose weights are on the engine's host. */
  stagedModels: string[];
  /** Model that the engine serves or is loading; undefined without one. */
  loadedModel: string | undefined;
  group: GroupMembership | undefined;
}

/** All members of a group that the store's entries name. */
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
