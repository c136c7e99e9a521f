import type { TargetReport } from '../rpc/index.ts';
import type { TargetLoad } from '../domain-types/index.ts';

/** A target that may currently receive requests of a route. */
export interface RoutableTarget {
  /** Name of the group, or name of the VM for a plain service. */
  id: string;
  /** VM that receives the requests; the member with rank 0 of a group. */
  vm: string;
  address: string;
  port: number;
  availabilityZone: string;
  /** Name of the group; null for a plain service. */
  group: string | null;
  generation: number;
  instanceId: string;
  /** False when the target is cold, so that each request requires a slot. */
  warm: boolean;
  load: TargetLoad;
  /** Age of the report at this daemon, in milliseconds. */
  loadAgeMs: number;
  /** Weight of the serving group on the route, from the configured weights. */
  weight: number;
  /** Number of daemons that share the memory of this target. */
  sharingDaemons: number;
}

/** What a response or a failed connection of a request revealed about a target. */
export interface TargetObservation {
  vm: string;
  instanceId?: string;
  warm?: boolean;
  load?: TargetLoad;
  /** True when a connection was refused, broke or went silent. */
  failed?: boolean;
}

/** Health of the targets that this daemon may use. */
export interface TargetHealth {
  /** Returns the latest report of a VM with its age, or undefined when there is none. */
  getReport(vm: string): TargetReport | undefined;
  /** Applies an observation of the request path, which is newer than any probe. */
  handleObservation(observation: TargetObservation): void;
  subscribe(listener: (vm: string) => void): () => void;
}

/** Lists the targets that may receive new requests, based on documents and target health. */
export interface TargetDirectory {
  /** Lists the targets of a model route. Empty when the customer has no such route. */
  listModelTargets(customer: string, route: string): RoutableTarget[];
  /** Lists the targets of a service route. Empty when the customer has no such route. */
  listServiceTargets(customer: string, route: string): RoutableTarget[];
}
