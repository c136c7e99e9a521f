import type { DirectoryCandidate } from './types.ts';

/** A gateway with the weight by which its name is drawn. */
export interface WeightedCandidate {
  candidate: DirectoryCandidate;
  /** What the VM can bear, relative to the mean of all. */
  capacityWeight: number;
  /** Weight that also counts what the gateway bears now; more than 0. */
  weight: number;
}

/** Ratio of the largest capacity or link to the smallest one from which VMs count as unlike. */
const UNLIKE_RATIO = 1.25;
/** Requests in progress, relative to a gateway's part by its capacity, above which its weight falls. */
const MAX_LOAD_RATIO = 1.5;
/** Requests in progress that never count as too many. */
const LOAD_SLACK = 4;
/** Share of the memory above which the weight falls; at 1, it is at its minimum. */
const MAX_MEMORY_SHARE = 0.7;
/** Smallest factor of a load: a gateway that callers never try again seems to refuse connections. */
const MIN_FACTOR = 0.1;

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Returns each value relative to the mean of those that are known, or 1 if it is unknown. */
function computeRatios(values: readonly number[]): number[] {
  const mean = computeMean(values.filter((value) => value > 0));
  return values.map((value) => (value > 0 ? value / mean : 1));
}

function isSpread(values: readonly number[]): boolean {
  const known = values.filter((value) => value > 0);
  return known.length > 0 && Math.max(...known) > Math.min(...known) * UNLIKE_RATIO;
}

/** Whether some VMs can bear more than others. */
export function hasUnlikeVms(candidates: readonly DirectoryCandidate[]): boolean {
  return (
    isSpread(candidates.map(({ capacity }) => capacity)) ||
    isSpread(candidates.map(({ linkMbps }) => linkMbps))
  );
}

/** Computes the factor of the memory in use: a gateway that is short of memory is named less. */
function computeMemoryFactor({ memoryShare }: DirectoryCandidate): number {
  return Math.min(1, Math.max(MIN_FACTOR, (1 - memoryShare) / (1 - MAX_MEMORY_SHARE)));
}

/** Computes the factor of the requests in progress, where `fair` is the gateway's part of all. */
function computeLoadFactor({ inProgress }: DirectoryCandidate, fair: number): number {
  const limit = fair * MAX_LOAD_RATIO + LOAD_SLACK;
  return inProgress <= limit ? 1 : Math.max(MIN_FACTOR, limit / inProgress);
}

/** Computes the weights of all gateways: the scarcer of CPU and link, less with much load. */
export function computeWeights(candidates: readonly DirectoryCandidate[]): WeightedCandidate[] {
  const capacityRatios = computeRatios(candidates.map(({ capacity }) => capacity));
  const linkRatios = computeRatios(candidates.map(({ linkMbps }) => linkMbps));
  const capacityWeights = capacityRatios.map((ratio, index) => Math.min(ratio, linkRatios[index]!));
  const totalWeight = capacityWeights.reduce((sum, weight) => sum + weight, 0);
  const totalInProgress = candidates.reduce((sum, { inProgress }) => sum + inProgress, 0);
  return candidates.map((candidate, index) => {
    const capacityWeight = capacityWeights[index]!;
    const fair = (totalInProgress * capacityWeight) / totalWeight;
    const factor = computeMemoryFactor(candidate) * computeLoadFactor(candidate, fair);
    return { candidate, capacityWeight, weight: capacityWeight * Math.max(MIN_FACTOR, factor) };
  });
}
