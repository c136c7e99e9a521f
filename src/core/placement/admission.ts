/** What is known of a request and of the targets that could process it. */
export interface AdmissionInput {
  /** Requests that a target processes at once. */
  slots: number;
  /** Time that the request may wait for a slot and still have its first event in time, in ms. */
  slackMs: number;
  /** Mean time for which a request takes a slot, in ms. */
  durationMs: number;
  /** Share of the slots that the request leaves free for others, from 0 to 1. */
  reservedShare?: number;
}

/**
 * Computes how many requests a target may hold for one more to have its first event in time: its
 * slots, and those that become free within the slack. Answers the overload that follows a loss of
 * groups or a burst: without a limit, queues at the targets grow until every response is late.
 */
export function computeMaxInFlight(input: AdmissionInput): number {
  const { slots, slackMs, durationMs, reservedShare = 0 } = input;
  const freedSlots = Math.floor((Math.max(0, slackMs) * slots) / Math.max(1, durationMs));
  const reservedSlots = Math.round(slots * reservedShare);
  if (reservedSlots > 0) return Math.max(1, slots - Math.min(freedSlots, reservedSlots));
  return slots + Math.min(freedSlots, slots);
}

/** Load of the targets of a service and model, as far as this gateway knows it. */
export interface WaitInput {
  /** Requests of this gateway that are served before. */
  ahead: number;
  /** Slots of all usable targets; those that limit their requests count as far as these fill them. */
  totalSlots: number;
  durationMs: number;
  /** Gateways that share the targets. */
  gateways: number;
}

/** Computes how long a request waits until its gateway's share of the slots serves it, in ms. */
export function computeExpectedWaitMs(input: WaitInput): number {
  const { ahead, totalSlots, durationMs, gateways } = input;
  if (totalSlots <= 0) return Infinity;
  return ((ahead + 1) * durationMs * gateways) / totalSlots;
}

/** Why a request that was not sent is refused; decides when its caller should return. */
export enum RefusalCause {
  /** All targets hold as many requests as they can process in time. */
  Full = 'full',
  /** All targets limit their requests, and take no more of them now. */
  Limited = 'limited',
  /** No target can be used; a group that was lost is formed again in about half a second. */
  NoTarget = 'no-target',
}

/** Range of the time until a lost group serves again: to notice the loss, join and open. */
const RECOVERY_MIN_MS = 400;
const RECOVERY_SPREAD_MS = 600;

/** Callers are not sent away for longer, as targets may lift their limits at any time. */
const LIMITED_MAX_MS = 5_000;

/** What decides when the caller of a refused request should return. */
export interface RetryInput {
  cause: RefusalCause;
  durationMs: number;
  /** Expected wait until the targets' limits let one more request through. */
  expectedWaitMs: number;
  /** Random number from 0 to 1. */
  random: number;
}

/**
 * Computes the time after which the caller of a refused request should return. Callers are spread
 * over the time that the targets need for the requests they hold, so that they do not all return to
 * full targets together.
 */
export function computeRetryAfterMs(input: RetryInput): number {
  const { cause, durationMs, expectedWaitMs, random } = input;
  if (cause === RefusalCause.NoTarget) return RECOVERY_MIN_MS + random * RECOVERY_SPREAD_MS;
  if (cause === RefusalCause.Full) return durationMs * (1 + random);
  return Math.min(LIMITED_MAX_MS, expectedWaitMs * (1 + random));
}
