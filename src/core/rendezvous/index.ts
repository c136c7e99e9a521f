import { createHash } from 'node:crypto';

/** Returns the score of a candidate for a key; all processes must use the same hash. */
function computeScore(key: string, member: string): bigint {
  return createHash('sha1').update(`${key}\u0000${member}`).digest().readBigUInt64BE();
}

/**
 * Orders candidates by rendezvous hashing. Every process with the same candidates computes the same
 * order, provided that all use the same hash. Adding or removing a candidate moves only the keys
 * that rank it first and leaves the order of the others as it is.
 */
export function computeRendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, score: computeScore(key, member) }))
    .sort((left, right) => {
      if (left.score === right.score) return left.member < right.member ? -1 : 1;
      return left.score > right.score ? -1 : 1;
    })
    .map(({ member }) => member);
}

/** Returns the first `count` members of the rendezvous order. */
export function selectByRendezvous(
  key: string,
  members: readonly string[],
  count: number,
): string[] {
  return computeRendezvousOrder(key, members).slice(0, count);
}
