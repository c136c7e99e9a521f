import { createError, ErrorKind } from '../errors/index.ts';
import type { Allocation, Lease } from './types.ts';

/** A controller that competes for the lease of a fabric domain. */
export interface LeaseCandidate {
  /** Name of the controller process; each start of the process gets a new one. */
  holder: string;
  vm: string;
  durationMs: number;
}

/** When a candidate first read the current state of a lease, on its own monotonic clock. */
export interface LeaseObservation {
  epoch: number;
  renewal: number;
  sinceMs: number;
}

function buildLease(candidate: LeaseCandidate, epoch: number, renewal: number): Lease {
  return { ...candidate, epoch, renewal, released: false };
}

/** Creates the first allocation of a fabric domain, with its lease held by the candidate. */
export function createAllocation(fabricDomain: string, candidate: LeaseCandidate): Allocation {
  return { fabricDomain, lease: buildLease(candidate, 1, 1), groups: [], vms: {} };
}

/**
 * Updates an observation with a lease that was just read. `nowMs` is the time at which the response
 * arrived, so that the observation starts after the renewal took effect.
 */
export function updateObservation(
  previous: LeaseObservation | undefined,
  lease: Lease,
  nowMs: number,
): LeaseObservation {
  const isSame = previous?.epoch === lease.epoch && previous.renewal === lease.renewal;
  if (previous !== undefined && isSame) return previous;
  return { epoch: lease.epoch, renewal: lease.renewal, sinceMs: nowMs };
}

/**
 * Returns whether a candidate may acquire the lease: it was released, it is the candidate's own, or
 * the renewal counter did not change for the full lease duration.
 */
export function isLeaseFree(
  lease: Lease,
  observation: LeaseObservation,
  holder: string,
  nowMs: number,
): boolean {
  if (lease.released || lease.holder === holder) return true;
  const isObserved = observation.epoch === lease.epoch && observation.renewal === lease.renewal;
  return isObserved && nowMs - observation.sinceMs >= lease.durationMs;
}

/** Acquires the lease at the next epoch; the caller must have checked `isLeaseFree`. */
export function acquireLease(allocation: Allocation, candidate: LeaseCandidate): Allocation {
  const { epoch, renewal } = allocation.lease;
  return { ...allocation, lease: buildLease(candidate, epoch + 1, renewal + 1) };
}

/** Returns whether this holder has the lease of the allocation at this epoch. */
export function isLeaseHeldBy(allocation: Allocation, holder: string, epoch: number): boolean {
  const { lease } = allocation;
  return lease.holder === holder && lease.epoch === epoch && !lease.released;
}

function assertHeld(allocation: Allocation, holder: string, epoch: number): void {
  if (isLeaseHeldBy(allocation, holder, epoch)) return;
  const { fabricDomain } = allocation;
  throw createError(ErrorKind.LeaseLost, { fabricDomain, epoch });
}

/**
 * Increments the renewal counter; every write of the holder does so.
 *
 * @throws LeaseLost when the allocation names another holder or epoch.
 */
export function renewLease(allocation: Allocation, holder: string, epoch: number): Allocation {
  assertHeld(allocation, holder, epoch);
  const { lease } = allocation;
  return { ...allocation, lease: { ...lease, renewal: lease.renewal + 1 } };
}

/** Releases the lease at a planned stop, so that another controller can acquire it immediately. */
export function releaseLease(allocation: Allocation, holder: string, epoch: number): Allocation {
  const renewed = renewLease(allocation, holder, epoch);
  return { ...renewed, lease: { ...renewed.lease, released: true } };
}

/** Returns the time at which a holder must stop acting, from the send time of its last renewal. */
export function computeLeaseEnd(sentMs: number, durationMs: number, marginMs: number): number {
  return sentMs + durationMs - marginMs;
}
