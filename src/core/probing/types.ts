import type { TargetReport } from '../rpc/index.ts';
import type { TargetLoad } from '../world/index.ts';

/** A target that may take a request of a route at this moment. */
export interface RoutableTarget {
  /** Name of the group, or of the VM for a plain service. */
  id: string;
  /** VM that takes the requests: rank 0 of a group. */
  vm: string;
  address: string;
  port: number;
  availabilityZone: string;
  /** Null for a plain service. */
  group: string | null;
  generation: number;
  instanceId: string;
  /** False when a request needs a slot. */
  warm: boolean;
  load: TargetLoad;
  /** Age of the load report at this daemon, in milliseconds. */
  loadAgeMs: number;
  /** Weight from the table of weights. */
  weight: number;
  /** Daemons that share the memory of this target. */
  sharingDaemons: number;
}

/** What an answer or a failed connection told about a target. */
export interface TargetSign {
  vm: string;
  instanceId?: string;
  warm?: boolean;
  load?: TargetLoad;
  /** True when a connection was refused, broken or silent. */
  failed?: boolean;
}

/** Health of the targets that this daemon may use. */
export interface TargetHealth {
  /** Returns the newest report of a VM. */
  getReport(vm: string): TargetReport | undefined;
  /** Uses what the request path saw, which is newer than any probe. */
  handleSign(sign: TargetSign): void;
  subscribe(listener: (vm: string) => void): () => void;
}

/** Joins documents and health: which targets may take new work now. */
export interface TargetDirectory {
  /** Lists targets of a model route; empty when the customer has no such route. */
  listModelTargets(customer: string, route: string): RoutableTarget[];
  /** Lists targets of a service route. */
  listServiceTargets(customer: string, route: string): RoutableTarget[];
}
