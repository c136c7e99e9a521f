/** Decides which orders to engines get no response and are carried out late. */
export interface OrderDelays {
  /** Starts or ends a time in which some orders are late; such times may overlap. */
  setActive(isActive: boolean): void;
  /** Returns the delay of the next order in ms; undefined for a prompt one. */
  drawDelayMs(): number | undefined;
}

const LATE_SHARE = 0.35;
const MIN_DELAY_MS = 2_000;
const MAX_DELAY_MS = 12_000;

/** Creates delays that are not active. */
export function createOrderDelays(random: () => number): OrderDelays {
  let activeCount = 0;
  return {
    setActive(isActive) {
      activeCount += isActive ? 1 : -1;
    },
    drawDelayMs() {
      if (activeCount === 0 || random() >= LATE_SHARE) return undefined;
      return MIN_DELAY_MS + random() * (MAX_DELAY_MS - MIN_DELAY_MS);
    },
  };
}
