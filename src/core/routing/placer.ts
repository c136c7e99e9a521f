import type { RoutableTarget } from '../probing/index.ts';
import type { SlotClient } from '../slots/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { InFlight } from './in-flight.ts';
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
  inFlight: InFlight;
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
  take(request: PlacementRequest): Reservation | NoTargetReason;
  /** Acquires the slot that a cold target requires. Resolves to undefined when none is free. */
  acquire(reservation: Reservation): Promise<Placement | undefined>;
}

/** Time for which a cold target without a free slot is not considered again. */
const COLD_RETRY_MS = 250;

/** Creates the placer of a daemon. */
export function createPlacer(options: PlacerOptions): Placer {
  const { timers, inFlight, slots, random } = options;
  const retryAtMs = new Map<string, number>();

  const canTake = ({ vm, warm }: RoutableTarget): boolean =>
    warm || (retryAtMs.get(vm) ?? 0) <= timers.getMonotonicMs();

  return {
    take(request) {
      const all = request.listTargets();
      const candidates = all
        .filter(canTake)
        .map((target) => ({ target, own: inFlight.get(target.vm) }));
      const choice = { ...request, availabilityZone: options.availabilityZone };
      const { target, reason } = selectTarget(candidates, choice, random);
      if (target !== undefined) {
        return { target, release: inFlight.add(target.vm, request.tokens) };
      }
      const hasColdLeft = candidates.length < all.length;
      return hasColdLeft ? NoTargetReason.NoRoom : reason;
    },
    async acquire({ target, release }) {
      if (target.warm) return { target, release };
      const slot = await slots.takeSlot(target.vm);
      if (slot === undefined) {
        retryAtMs.set(target.vm, timers.getMonotonicMs() + COLD_RETRY_MS);
        release();
        return undefined;
      }
      retryAtMs.delete(target.vm);
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
