/** Position of a gateway in an order of all gateways that is the same for each of them. */
export interface Position {
  index: number;
  /** Number of gateways. */
  count: number;
}

/** A target in an order of all targets that is the same for each gateway. */
export interface PlacedTarget {
  index: number;
  /** Number of targets. */
  count: number;
  /** Requests that a target processes at once. */
  slots: number;
}

/**
 * Computes how many slots of a target belong to a gateway. All slots, in the order of their targets,
 * are divided into one range for each gateway. A gateway knows at any time how many of its own slots
 * are taken, whereas its knowledge of the others' requests is some hundred ms old. If both orders
 * begin with the availability zone, most ranges lie in the zone of their gateway.
 */
export function computeOwnSlots(target: PlacedTarget, gateway: Position): number {
  const total = target.count * target.slots;
  const rangeStart = Math.floor((gateway.index * total) / gateway.count);
  const rangeEnd = Math.floor(((gateway.index + 1) * total) / gateway.count);
  const firstSlot = target.index * target.slots;
  const overlapStart = Math.max(rangeStart, firstSlot);
  return Math.max(0, Math.min(rangeEnd, firstSlot + target.slots) - overlapStart);
}
