import type { WaitingRank } from './types.ts';

/** Sorts by rank, and by the time that is left; the request that is served first comes first. */
export function compareWaiters(left: WaitingRank, right: WaitingRank): number {
  return (
    left.priority - right.priority ||
    Number(left.isYielding ?? false) - Number(right.isYielding ?? false) ||
    left.giveUpMs - right.giveUpMs
  );
}

/** Finds the first place in a sorted line that a test holds for; it holds for all later ones too. */
export function findPlace<Item>(
  line: readonly Item[],
  isBehind: (waiting: Item) => boolean,
): number {
  let low = 0;
  let high = line.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isBehind(line[middle]!)) high = middle;
    else low = middle + 1;
  }
  return low;
}
