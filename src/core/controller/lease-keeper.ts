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
import type { PlatformObject } from '../platform/index.ts';
import { WriteOutcome } from '../platform/index.ts';
import type { ControllerContext, VersionedAllocation } from './types.ts';

/** The term of a lease while this controller holds it. */
export interface HeldTerm {
  epoch: number;
  /** Monotonic time at which the controller must stop acting. */
  endMs: number;
  /** Monotonic time from which orders may be sent, when those of earlier holders took effect. */
  actFromMs: number;
  acquiredMs: number;
}

/** Manages the lease of one domain and the allocation object that contains it. */
export interface LeaseKeeper {
  getTerm(): HeldTerm | undefined;
  getAllocation(): VersionedAllocation | undefined;
  /** Returns whether the object must be read again because the outcome of a write is unknown. */
  hasToRead(): boolean;
  /** Returns whether the object as last read is the result of this controller's last write. */
  isLastWriteInForce(): boolean;
  /** Reads the object; acquires the lease when it is free and `mayAcquire` is true. */
  observe(mayTake: boolean): Promise<void>;
  /** Writes a change and renews the lease; resolves with false when the write was not applied. */
  write(change: (allocation: Allocation) => Allocation): Promise<boolean>;
  /** Steps down when the lease has ended. */
  checkEnd(): void;
  release(): Promise<void>;
}

/** Creates the lease manager of one domain. */
export function createLeaseKeeper(context: ControllerContext, fabricDomain: string): LeaseKeeper {
  const { platform, recorder, settings, timers, logger, holder } = context;
  const { durationMs, marginMs } = settings.lease;
  const claimant: LeaseCandidate = { holder, vm: settings.vm, durationMs };
  let term: HeldTerm | undefined;
  let held: VersionedAllocation | undefined;
  let observation: LeaseObservation | undefined;
  let isUncertain = false;
  let lastWriteId: string | undefined;
  let isLastInForce = false;

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
    isLastInForce = object !== undefined && object.writeId === lastWriteId;
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
    isLastInForce = false;
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
      isLastInForce = true;
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

  const take = async (): Promise<void> => {
    const previous = held?.allocation;
    const next =
      previous === undefined
        ? createAllocation(fabricDomain, claimant)
        : acquireLease(previous, claimant);
    const sentMs = await put(next);
    if (sentMs === undefined) return;
    const { epoch } = next.lease;
    const acquiredMs = timers.getMonotonicMs();
    const delayMs = previous === undefined ? 0 : settings.orders.longestDelayMs;
    const endMs = computeLeaseEnd(sentMs, durationMs, marginMs);
    term = { epoch, endMs, actFromMs: acquiredMs + delayMs, acquiredMs };
    recorder.record('lease', 'lease-acquired', { fabricDomain, epoch });
  };

  const isFree = (): boolean => {
    if (held === undefined) return true;
    const { lease } = held.allocation;
    const nowMs = timers.getMonotonicMs();
    return observation !== undefined && isLeaseFree(lease, observation, holder, nowMs);
  };

  const keeper: LeaseKeeper = {
    getTerm: () => term,
    getAllocation: () => held,
    hasToRead: () => isUncertain,
    isLastWriteInForce: () => isLastInForce,
    async observe(mayTake) {
      try {
        applyRead(await platform.fetchObject(ALLOCATION_KIND, fabricDomain));
      } catch (error) {
        logger.warn('reading the allocation failed', {
          fabricDomain,
          problem: formatProblem(error),
        });
        return;
      }
      if (term === undefined && mayTake && isFree()) await take();
    },
    async write(change) {
      keeper.checkEnd();
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
      keeper.checkEnd();
      if (term === undefined || held === undefined || isUncertain) return;
      const { epoch } = term;
      term = undefined;
      const sentMs = await put(releaseLease(held.allocation, holder, epoch));
      if (sentMs !== undefined) recorder.record('lease', 'lease-released', { fabricDomain, epoch });
    },
  };
  return keeper;
}
