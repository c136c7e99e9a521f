import type { RoutableTarget } from '../probing/index.ts';
import type { SlotClient } from '../slots/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { InFlightTracker } from './in-flight.ts';
import { selectTarget } from './select-target.ts';
import type { TargetRequest } from './types.ts';
import { NoTargetReason } from './types.ts';

/** A target that a request may use, with the memory and any slot that it holds there. */
export interface Placement {
  target: RoutableTarget;
  /** Releases the memory and the slot; called when the request has ended at the target. */
  release(): void;
}

/** A request that needs a target. */
export interface PlacementRequest extends Omit<TargetRequest, 'availabilityZone'> {
  listTargets(): RoutableTarget[];
}

/** Dependencies and settings of the placer. */
export interface PlacerOptions {
  availabilityZone: string;
  timers: Pick<TimerService, 'getMonotonicMs'>;
  inFlight: InFlightTracker;
  slots: Pick<SlotClient, 'takeSlot'>;
  /** Returns a number in the range [0, 1). */
  random: () => number;
}

/** Memory reserved for a request at a target. A cold target also requires a slot. */
export interface Reservation {
  target: RoutableTarget;
  release(): void;
}

/** Reserves memory at targets and acquires the slots that cold targets require. */
export interface Placer {
  /** Reserves memory at a target, or returns the reason why no target is available. */
  reserve(request: PlacementRequest): Reservation | NoTargetReason;
  /** Acquires the slot that a cold target requires. Resolves to undefined when none is free. */
  acquireSlot(reservation: Reservation): Promise<Placement | undefined>;
}

/** Time for which a cold target without a free slot is not considered again. */
const COLD_RETRY_MS = 250;

/** Creates the placer of a daemon. */
export function createPlacer(options: PlacerOptions): Placer {
  const { timers, inFlight, slots, random } = options;
  const coldRetryAtMs = new Map<string, number>();

  const isEligible = ({ vm, warm }: RoutableTarget): boolean =>
    warm || (coldRetryAtMs.get(vm) ?? 0) <= timers.getMonotonicMs();

  return {
    reserve(request) {
      const all = request.listTargets();
      const candidates = all
        .filter(isEligible)
        .map((target) => ({ target, localLoad: inFlight.get(target.vm) }));
      const targetRequest = { ...request, availabilityZone: options.availabilityZone };
      const { target, reason } = selectTarget(candidates, targetRequest, random);
      if (target !== undefined) {
        return { target, release: inFlight.add(target.vm, request.tokens) };
      }
      const hasSkippedTargets = candidates.length < all.length;
      return hasSkippedTargets ? NoTargetReason.NoCapacity : reason;
    },
    async acquireSlot({ target, release }) {
      if (target.warm) return { target, release };
      const slot = await slots.takeSlot(target.vm);
      if (slot === undefined) {
        coldRetryAtMs.set(target.vm, timers.getMonotonicMs() + COLD_RETRY_MS);
        release();
        return undefined;
      }
      coldRetryAtMs.delete(target.vm);
      let isHeld = true;
      return {
        target,
        release() {
          if (!isHeld) return;
          isHeld = false;
          slot.release();
          release();
        },
      };
    },
  };
}
