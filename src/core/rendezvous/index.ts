import { createHash } from 'node:crypto';

function computeScore(key: string, member: string): bigint {
  return createHash('sha1').update(`${key}\u0000${member}`).digest().readBigUInt64BE();
}

/**
 * Orders members by rendezvous hashing: every process with the same members computes the same
 * order, and adding or removing a member reassigns only the keys of that member.
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
