import { MAX_NAMES, MAX_NEAR_SHARE, MIN_NAMES } from './consts.ts';
import type { CallerLocation, DirectoryCandidate } from './types.ts';
import { DirectoryChoice } from './types.ts';
import type { WeightedCandidate } from './weights.ts';
import { computeWeights, hasUnlikeVms } from './weights.ts';

/** What the choice of names depends on. */
export interface DirectoryInput {
  /** Ready gateways, first the one that answers, then the others in the order in which they were heard. */
  candidates: readonly DirectoryCandidate[];
  caller: CallerLocation;
  /** Returns the region of an availability zone; undefined if it is unknown. */
  getRegion(availabilityZone: string): string | undefined;
  /** Returns a random number from 0 to below 1. */
  random(): number;
}

/** Names for one answer. */
export interface SelectedGateways {
  callersAddresses: string[];
  choice: DirectoryChoice;
}

/** Factor of gateways outside the caller's region, to which no caller goes as long as others are there. */
const OTHER_REGION_FACTOR = 0.02;
/** Share of the gateways drawn from above which even those with a small weight are nearly always drawn. */
const MAX_DRAWN_SHARE = 0.5;
/** Time after which a gateway that is not heard is named only if too few others are. */
const MAX_SILENT_MS = 3_000;

/** Draws names by weighted sampling without replacement; the result is in random order. */
function sampleByWeight(
  weighted: readonly WeightedCandidate[],
  count: number,
  random: () => number,
): WeightedCandidate[] {
  return weighted
    .map((entry) => ({ entry, key: -Math.log(1 - random()) / entry.weight }))
    .sort((left, right) => left.key - right.key)
    .slice(0, Math.max(0, count))
    .map(({ entry }) => entry);
}

function sumWeights(weighted: readonly WeightedCandidate[]): number {
  return weighted.reduce((sum, { weight }) => sum + weight, 0);
}

/** Computes how many of the gateways may be in one answer such that their weights still show. */
function computeMaxDrawn(weighted: readonly WeightedCandidate[]): number {
  const heaviest = Math.max(...weighted.map(({ weight }) => weight));
  return Math.min(sumWeights(weighted) / heaviest, weighted.length * MAX_DRAWN_SHARE);
}

/**
 * Computes the number of names. Callers use all names of an answer alike, so that only an answer with
 * few of them makes the heavy ones count more.
 */
function computeNameCount(
  near: readonly WeightedCandidate[],
  far: readonly WeightedCandidate[],
): number {
  const wanted = near.length === 0 ? computeMaxDrawn(far) : computeMaxDrawn(near) / MAX_NEAR_SHARE;
  const count = Math.min(MAX_NAMES, Math.max(MIN_NAMES, Math.floor(wanted)));
  return Math.min(near.length + far.length, count);
}

/** Computes how many names are in the caller's zone: fewer if its gateways bear too much. */
function computeNearCount(near: readonly WeightedCandidate[], count: number): number {
  const capacityWeight = near.reduce((sum, entry) => sum + entry.capacityWeight, 0);
  if (capacityWeight === 0) return 0;
  const relief = sumWeights(near) / capacityWeight;
  return Math.min(near.length, Math.ceil(count * MAX_NEAR_SHARE * relief));
}

function selectHeardGateways(
  candidates: readonly DirectoryCandidate[],
): readonly DirectoryCandidate[] {
  const heard = candidates.filter(({ silentMs }) => silentMs <= MAX_SILENT_MS);
  return heard.length >= MIN_NAMES ? heard : candidates;
}

function selectByWeight(input: DirectoryInput): string[] {
  const { caller, getRegion, random } = input;
  const { availabilityZone: zone } = caller;
  const region = caller.region ?? (zone === undefined ? undefined : getRegion(zone));
  const isInOtherRegion = ({ availabilityZone }: DirectoryCandidate): boolean =>
    region !== undefined && (getRegion(availabilityZone) ?? region) !== region;
  const weighted = computeWeights(selectHeardGateways(input.candidates)).map((entry) =>
    isInOtherRegion(entry.candidate)
      ? { ...entry, weight: entry.weight * OTHER_REGION_FACTOR }
      : entry,
  );
  const near = weighted.filter(({ candidate }) => candidate.availabilityZone === zone);
  const far = weighted.filter(({ candidate }) => candidate.availabilityZone !== zone);
  const count = computeNameCount(near, far);
  const nearCount = Math.max(computeNearCount(near, count), count - far.length);
  return [
    ...sampleByWeight(near, nearCount, random),
    ...sampleByWeight(far, count - nearCount, random),
  ].map(({ candidate }) => candidate.callersAddress);
}

/**
 * Chooses the gateways that are named to a caller. Callers pick at random among the names, so that a
 * gateway gets more of them the more often it is named. Gateways alike that all fit into an answer
 * are all named.
 */
export function selectGateways(input: DirectoryInput): SelectedGateways {
  const { candidates } = input;
  if (candidates.length <= MAX_NAMES && !hasUnlikeVms(candidates)) {
    const callersAddresses = candidates.map(({ callersAddress }) => callersAddress);
    return { callersAddresses, choice: DirectoryChoice.All };
  }
  return { callersAddresses: selectByWeight(input), choice: DirectoryChoice.Weighted };
}
