import type { TimerService } from '../timers/index.ts';

/**
 * Time that all gateways agree on, but for the delay of a packet. Wall clocks may differ by seconds
 * between VMs and jump.
 */
export interface FleetClock {
  getFleetMs(): number;
  /** Computes how long a packet was under way that was sent at a fleet time, but for the usual delay. */
  computeDelayMs(sentFleetMs: number): number;
  /** Adopts the time of another gateway if it is ahead. */
  observeFleetMs(fleetMs: number): void;
}

/** Highest time that is adopted; beyond, a double would round milliseconds away. */
const MAX_FLEET_MS = 2 ** 45;

/** Creates a clock that starts at 0. */
export function createFleetClock(timers: Pick<TimerService, 'getMonotonicMs'>): FleetClock {
  let offsetMs = -timers.getMonotonicMs();
  const getFleetMs = (): number => timers.getMonotonicMs() + offsetMs;
  return {
    getFleetMs,
    computeDelayMs: (sentFleetMs) => Math.max(0, getFleetMs() - sentFleetMs),
    observeFleetMs(fleetMs) {
      if (!(fleetMs <= MAX_FLEET_MS)) return;
      offsetMs += Math.max(0, fleetMs - getFleetMs());
    },
  };
}
