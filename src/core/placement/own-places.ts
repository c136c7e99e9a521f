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

/**
 * Share of a target's slots up to which gateways use slots that are not their own, if they have many
 * of their own. The rest makes up for requests that they do not know of yet.
 */
const MIN_BORROWABLE_SHARE = 0.6;
/** Own slots from which a gateway seldom needs those of others. */
const MANY_OWN_SLOTS = 4;

/**
 * Computes the share of a target's slots up to which a gateway uses slots that are not its own. The
 * fewer slots each gateway has, the more of them stay unused at the others, so that more are shared.
 */
export function computeBorrowableShare(totalSlots: number, gateways: number): number {
  const ownShare = Math.min(1, totalSlots / gateways / MANY_OWN_SLOTS);
  return 1 - (1 - MIN_BORROWABLE_SHARE) * ownShare;
}
