import type { RoutableTarget } from '../probing/index.ts';

/** Requests that this daemon has in flight at a target, and their tokens. */
export interface LocalLoad {
  requests: number;
  /** Maximum number of tokens that the requests will hold: prompt plus maximum answer length. */
  tokens: number;
}

/** A routable target with the load that this daemon has placed on it. */
export interface TargetCandidate {
  target: RoutableTarget;
  localLoad: LocalLoad;
}

/** Properties of a request that determine the choice of a target. */
export interface TargetRequest {
  /** Maximum number of tokens that the request will hold; 1 for a call to a plain service. */
  tokens: number;
  /** Requests with the same key share a prompt prefix. Undefined disables prefix affinity. */
  prefixKey?: string | undefined;
  /** Availability zone of this daemon. */
  availabilityZone: string;
  /** VMs on which an attempt failed. They are used only when no other target is routable. */
  excludedVms: ReadonlySet<string>;
}

/** Why no target was selected. */
export enum NoTargetReason {
  /** The route has no routable target. */
  NoneRoutable = 'no target is routable',
  /** Targets are routable, but none has enough free capacity now. */
  NoCapacity = 'no target has room',
  /** The request exceeds this daemon's memory share at every target. */
  TooLarge = 'the request is larger than the memory share of every target',
}

/** The selected target, or the reason why none was selected. */
export type TargetSelection =
  { target: RoutableTarget; reason?: undefined } | { target?: undefined; reason: NoTargetReason };
