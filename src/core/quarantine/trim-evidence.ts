import type { PromptEvidence } from './types.ts';

/** Parts in the sets that are reported. */
const MAX_NOTICE_PARTS = 96;
/** Parts in the crashes that are reported, of the newest crashes first. */
const MAX_CRASH_PARTS = 192;
/** Parts whose answers are reported. */
const MAX_BEGINS = 96;

function takeWhileWithin<Item>(
  items: readonly Item[],
  countParts: (item: Item) => number,
  maxParts: number,
): Item[] {
  let count = 0;
  return items.filter((item) => {
    count += countParts(item);
    return count <= maxParts;
  });
}

/** Leaves out what exceeds the size of a packet. */
export function trimEvidence({ crashes, begins, notices }: PromptEvidence): PromptEvidence {
  const newestCrashes = [...crashes].sort((left, right) => left.ageMs - right.ageMs);
  const newestBegins = [...begins].sort((left, right) => left.ageMs - right.ageMs);
  const newestNotices = [...notices].sort((left, right) => left.ageMs - right.ageMs);
  return {
    crashes: takeWhileWithin(
      newestCrashes,
      ({ suspects }) => suspects.reduce((sum, { parts }) => sum + parts.length, 0),
      MAX_CRASH_PARTS,
    ),
    begins: newestBegins.slice(0, MAX_BEGINS),
    notices: takeWhileWithin(newestNotices, ({ parts }) => parts.length, MAX_NOTICE_PARTS),
  };
}
