import type { GroupMembership, Target } from '../fleet/index.ts';

/** Order to an engine that changes its group or its staged weights. */
export type EngineOrder =
  | { kind: 'join'; group: string; epoch: number; model: string; members: string[] }
  | { kind: 'open'; group: string; epoch: number }
  /** Makes the head stop serving: at once, or after its requests are done if graceful. */
  | { kind: 'close'; group: string; epoch: number; isGraceful: boolean }
  | { kind: 'leave'; group: string; epoch: number }
  /** Loads the weights of a model onto the engine's host. */
  | { kind: 'stage'; model: string };

/** Result of sending an order to an engine. */
export enum OrderResult {
  /** The engine has started or completed the order, or is already in the requested state. */
  Accepted = 'accepted',
  /** The order is not valid in the engine's state; nothing was started. */
  Refused = 'refused',
  /** The engine knows a later epoch, or another member list for the same epoch. */
  Outdated = 'outdated',
  /** No response: the order may have been accepted, or may be executed seconds later. */
  Unknown = 'unknown',
  /** The host could not be reached in time: the order was not sent. */
  NotSent = 'not-sent',
  /** The host refused the connection: the engine has exited, or accepts no new requests. */
  NotListening = 'not-listening',
}

/** State of an engine as it describes it when queried. */
export interface EngineState {
  group: GroupMembership | undefined;
  stagedModels: string[];
}

/** Client for the calls to engines that control their groups and weights. */
export interface EngineControl {
  sendOrder(target: Target, order: EngineOrder): Promise<OrderResult>;
  /** Returns undefined if the engine does not respond within `timeoutMs`. */
  queryState(target: Target, timeoutMs: number): Promise<EngineState | undefined>;
}
