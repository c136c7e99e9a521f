import type { PlacementSource } from '../admission/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Metrics } from '../metrics/index.ts';
import type { RoutableTarget, TargetObservation } from '../probing/index.ts';
import type { CallResult, ForwardCallRequest } from '../rpc/index.ts';
import type { ServiceClient } from '../targets/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Components that all calls of a daemon share. */
export interface CallDependencies {
  timers: TimerService;
  events: Pick<EventRecorder, 'record'>;
  metrics: Pick<Metrics, 'increment'>;
  services: ServiceClient;
  source: PlacementSource;
  listServiceTargets(customer: string, route: string): RoutableTarget[];
  handleObservation(observation: TargetObservation): void;
}

/** Sends RPCs to the daemons that own request ids; both reject when the owner can't be reached. */
export interface CallOwnerClient {
  forwardCall(owner: string, incarnation: string, call: ForwardCallRequest): Promise<CallResult>;
  lookupCall(owner: string, incarnation: string, requestId: string): Promise<CallResult>;
}
