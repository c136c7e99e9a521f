import type { GroupMembership, Target } from '../fleet/index.ts';

/** Orders to an engine about its group and its weights. */
export type EngineOrder =
  | { kind: 'join'; group: string; epoch: number; model: string; members: string[] }
  | { kind: 'open'; group: string; epoch: number }
  /** Returns the head to ready: at once, or when its work is done. */
  | { kind: 'close'; group: string; epoch: number; isGraceful: boolean }
  | { kind: 'leave'; group: string; epoch: number }
  /** Loads a model's weights onto the engine's host. */
  | { kind: 'stage'; model: string };

/** What an engine made of an order. */
export enum OrderResult {
  /** The order has begun, is done, or its state holds already. */
  Accepted = 'accepted',
  /** The order does not fit the engine's state; nothing has begun. */
  Refused = 'refused',
  /** The engine has seen a later epoch, or another member list for this one. */
  Outdated = 'outdated',
  /** No answer: the order may have been accepted, or may be carried out seconds later. */
  Unknown = 'unknown',
  /** No connection: the order was not sent. */
  NotSent = 'not-sent',
  /** The engine's host refused the connection: the engine has ended, or takes nothing new. */
  NotListening = 'not-listening',
}

/** What an engine says of itself when asked. */
export interface EngineReport {
  group: GroupMembership | undefined;
  stagedModels: string[];
}

/** Calls to engines that concern their groups and weights. */
export interface EngineControl {
  sendOrder(target: Target, order: EngineOrder): Promise<OrderResult>;
  /** Returns undefined if the engine does not answer in time. */
  fetchReport(target: Target, timeoutMs: number): Promise<EngineReport | undefined>;
}
