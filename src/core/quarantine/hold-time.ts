/** Time without trials after the first crashes; a group of engines is back after some seconds. */
const FIRST_HOLD_MS = 30_000;
/** Factor of the hold time for each further crash, so that an endless fault costs few engines. */
const HOLD_FACTOR = 3;
const MAX_HOLD_MS = 6 * 3_600_000;
/** Crashes after which the first hold time applies. */
const FIRST_CRASHES = 2;

/** Computes for how long after its last crash a set of parts gets no trial. */
export function computeHoldMs(crashes: number): number {
  const factor = HOLD_FACTOR ** Math.max(0, crashes - FIRST_CRASHES);
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * factor);
}
