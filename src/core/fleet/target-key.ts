import type { Target } from './types.ts';

/** Names one process start of a target; a target may start again under the same id. */
export function formatTargetKey({
  id,
  startedWallMs,
}: Pick<Target, 'id' | 'startedWallMs'>): string {
  return `${id}@${startedWallMs}`;
}

/** Returns the id of the target in a key of `formatTargetKey`. */
export function parseTargetId(targetKey: string): string {
  return targetKey.slice(0, targetKey.lastIndexOf('@'));
}

/**
 * Returns a hash of the target id that distributes targets evenly over gateway positions: a
 * polynomial hash with the usual factor 31, modulo the largest prime below 2^16.
 */
export function computeTargetHash(targetId: string): number {
  let sum = 0;
  for (let index = 0; index < targetId.length; index++) {
    sum = (sum * 31 + targetId.charCodeAt(index)) % 65_521;
  }
  return sum;
}
