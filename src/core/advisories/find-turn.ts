import type { Position } from '../placement/index.ts';

/** The turns of one target: each is one request, and they come at a steady rate. */
export interface TurnInput {
  /** Fleet time after which the turn comes. */
  afterMs: number;
  perSecond: number;
  position: Position;
  /** Number by which the turns of different targets are shifted against each other. */
  shift: number;
}

const MS_PER_SECOND = 1_000;
/** Absorbs rounding, by which a turn would come twice. */
const TURN_TOLERANCE = 1e-6;

/**
 * Finds the fleet time of a gateway's next turn. The gateways take the turns of a target one after
 * the other, so that together they send it at the given rate, however many they are.
 */
export function findNextTurnMs({ afterMs, perSecond, position, shift }: TurnInput): number {
  const { index, count } = position;
  const next = Math.floor((afterMs * perSecond) / MS_PER_SECOND + TURN_TOLERANCE) + 1;
  const owner = (next + shift) % count;
  const ahead = (index - owner + count) % count;
  return ((next + ahead) * MS_PER_SECOND) / perSecond;
}
