import { createHash } from 'node:crypto';

/** Returns the score of a candidate for a key; all processes must use the same hash. */
function computeScore(key: string, candidate: string): bigint {
  return createHash('sha1').update(`${key}\u0000${candidate}`).digest().readBigUInt64BE();
}

/**
 * Orders candidates by rendezvous hashing. Every process with the same candidates computes the same
 * order, provided that all use the same hash. Adding or removing a candidate moves only the keys
 * that rank it first and leaves the order of the others as it is.
 */
export function computeRendezvousOrder(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, score: computeScore(key, candidate) }))
    .sort((left, right) => {
      if (left.score === right.score) return left.candidate < right.candidate ? -1 : 1;
      return left.score > right.score ? -1 : 1;
    })
    .map(({ candidate }) => candidate);
}

/** Returns the first `count` candidates of the rendezvous order. */
export function selectByRendezvous(
  key: string,
  candidates: readonly string[],
  count: number,
): string[] {
  return computeRendezvousOrder(key, candidates).slice(0, count);
}
