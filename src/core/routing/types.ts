import type { RoutableTarget } from '../probing/index.ts';

/** Work that this daemon has at a target. */
export interface OwnWork {
  requests: number;
  /** Tokens that the requests will hold at most: prompt plus maximum answer. */
  tokens: number;
}

/** A target with the work that this daemon has there. */
export interface TargetCandidate {
  target: RoutableTarget;
  own: OwnWork;
}

/** What the choice of a target depends on, beside the candidates. */
export interface TargetRequest {
  /** Tokens that the request will hold at most; 1 for a call to a plain service. */
  tokens: number;
  /** Requests with the same key share a prompt prefix; undefined without affinity. */
  prefixKey?: string | undefined;
  /** Availability zone of this daemon. */
  availabilityZone: string;
  /** VMs at which an attempt failed; they are chosen only when no other target is routable. */
  excludedVms: ReadonlySet<string>;
}

/** Why no target was chosen. */
export enum NoTargetReason {
  /** The route has no routable target. */
  NoneRoutable = 'no target is routable',
  /** Targets are routable, but none has room now. */
  NoRoom = 'no target has room',
  /** The request is larger than the share of every target. */
  TooLarge = 'the request is larger than the memory share of every target',
}

/** Result of the choice. */
export type TargetSelection =
  { target: RoutableTarget; reason?: undefined } | { target?: undefined; reason: NoTargetReason };
