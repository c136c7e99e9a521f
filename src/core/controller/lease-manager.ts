import type { Allocation, LeaseCandidate, LeaseObservation } from '../allocation/index.ts';
import {
  acquireLease,
  ALLOCATION_KIND,
  computeLeaseEnd,
  createAllocation,
  isLeaseFree,
  isLeaseHeldBy,
  releaseLease,
  renewLease,
  updateObservation,
} from '../allocation/index.ts';
import { formatProblem } from '../errors/index.ts';
import type { PlatformObject } from '../object-api/index.ts';
import { WriteOutcome } from '../object-api/index.ts';
import type { ControllerContext, VersionedAllocation } from './types.ts';

/** The term of a lease while this controller holds it. */
export interface HeldTerm {
  epoch: number;
  /** Monotonic time at which the controller must stop acting. */
  endMs: number;
  /** Monotonic time from which orders may be sent, when those of earlier holders took effect. */
  sendOrdersFromMs: number;
  acquiredMs: number;
}

/** Manages the lease of one domain and the allocation object that contains it. */
export interface LeaseManager {
  getTerm(): HeldTerm | undefined;
  getAllocation(): VersionedAllocation | undefined;
  /** Returns whether the object must be read again because the outcome of a write is unknown. */
  needsReread(): boolean;
  /** Returns whether the object as last read is the result of this controller's last write. */
  isLastWriteCurrent(): boolean;
  /** Reads the object; acquires the lease when it is free and `mayAcquire` is true. */
  observe(mayAcquire: boolean): Promise<void>;
  /** Writes a change and renews the lease; resolves with false when the write was not applied. */
  write(change: (allocation: Allocation) => Allocation): Promise<boolean>;
  /** Steps down when the lease has ended. */
  checkEnd(): void;
  release(): Promise<void>;
}

/** Creates the lease manager of one domain. */
export function createLeaseManager(context: ControllerContext, fabricDomain: string): LeaseManager {
  const { platform, recorder, settings, timers, logger, holder } = context;
  const { durationMs, marginMs } = settings.lease;
  const candidate: LeaseCandidate = { holder, vm: settings.vm, durationMs };
  let term: HeldTerm | undefined;
  let held: VersionedAllocation | undefined;
  let observation: LeaseObservation | undefined;
  let isUncertain = false;
  let lastWriteId: string | undefined;
  let isLastWriteCurrent = false;

  const stepDown = (reason: string): void => {
    if (term === undefined) return;
    const { epoch } = term;
    term = undefined;
    recorder.record('lease', 'lease-lost', { fabricDomain, epoch, reason });
  };

  const applyRead = (object: PlatformObject | undefined): void => {
    held =
      object === undefined
        ? undefined
        : { version: object.version, allocation: object.value as Allocation };
    isUncertain = false;
    isLastWriteCurrent = object !== undefined && object.writeId === lastWriteId;
    if (held === undefined) {
      stepDown('allocation is gone');
      return;
    }
    const { allocation } = held;
    observation = updateObservation(observation, allocation.lease, timers.getMonotonicMs());
    if (term !== undefined && !isLeaseHeldBy(allocation, holder, term.epoch)) {
      stepDown(`held by ${allocation.lease.holder} at epoch ${allocation.lease.epoch}`);
    }
  };

  /** Returns the time at which the write was sent, or undefined when it was not applied. */
  const put = async (allocation: Allocation): Promise<number | undefined> => {
    const sentMs = timers.getMonotonicMs();
    const writeId = context.createWriteId();
    lastWriteId = writeId;
    isLastWriteCurrent = false;
    try {
      const result = await platform.writeObject({
        kind: ALLOCATION_KIND,
        name: fabricDomain,
        baseVersion: held?.version ?? 0,
        writeId,
        value: allocation,
      });
      if (result.outcome === WriteOutcome.Conflict) {
        applyRead(result.current);
        return undefined;
      }
      held = { version: result.version, allocation };
      isLastWriteCurrent = true;
      return sentMs;
    } catch (error) {
      isUncertain = true;
      logger.warn('outcome of an allocation write is unknown', {
        fabricDomain,
        problem: formatProblem(error),
      });
      return undefined;
    }
  };

  const acquire = async (): Promise<void> => {
    const previous = held?.allocation;
    const next =
      previous === undefined
        ? createAllocation(fabricDomain, candidate)
        : acquireLease(previous, candidate);
    const sentMs = await put(next);
    if (sentMs === undefined) return;
    const { epoch } = next.lease;
    const acquiredMs = timers.getMonotonicMs();
    const delayMs = previous === undefined ? 0 : settings.orders.longestDelayMs;
    const endMs = computeLeaseEnd(sentMs, durationMs, marginMs);
    term = { epoch, endMs, sendOrdersFromMs: acquiredMs + delayMs, acquiredMs };
    recorder.record('lease', 'lease-acquired', { fabricDomain, epoch });
  };

  const isFree = (): boolean => {
    if (held === undefined) return true;
    const { lease } = held.allocation;
    const nowMs = timers.getMonotonicMs();
    return observation !== undefined && isLeaseFree(lease, observation, holder, nowMs);
  };

  const manager: LeaseManager = {
    getTerm: () => term,
    getAllocation: () => held,
    needsReread: () => isUncertain,
    isLastWriteCurrent: () => isLastWriteCurrent,
    async observe(mayAcquire) {
      try {
        applyRead(await platform.fetchObject(ALLOCATION_KIND, fabricDomain));
      } catch (error) {
        logger.warn('reading the allocation failed', {
          fabricDomain,
          problem: formatProblem(error),
        });
        return;
      }
      if (term === undefined && mayAcquire && isFree()) await acquire();
    },
    async write(change) {
      manager.checkEnd();
      if (term === undefined || held === undefined || isUncertain) return false;
      const changed = change(held.allocation);
      const sentMs = await put(renewLease(changed, holder, term.epoch));
      if (sentMs === undefined) return false;
      term.endMs = computeLeaseEnd(sentMs, durationMs, marginMs);
      return true;
    },
    checkEnd() {
      if (term !== undefined && timers.getMonotonicMs() >= term.endMs) stepDown('renewal is late');
    },
    async release() {
      manager.checkEnd();
      if (term === undefined || held === undefined || isUncertain) return;
      const { epoch } = term;
      term = undefined;
      const sentMs = await put(releaseLease(held.allocation, holder, epoch));
      if (sentMs !== undefined) recorder.record('lease', 'lease-released', { fabricDomain, epoch });
    },
  };
  return manager;
}
