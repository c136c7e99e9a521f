import type { TargetCandidate } from './types.ts';

/** Age at which a load report is ignored. Reports of targets lag by up to seconds. */
export const LOAD_REPORT_LIFETIME_MS = 5_000;

/** Returns the weight of a load report: 1 when it is new, falling linearly to 0 at 5 s. */
export function computeReportWeight(ageMs: number): number {
  return Math.min(1, Math.max(0, 1 - ageMs / LOAD_REPORT_LIFETIME_MS));
}

function computeAgeMs({ target }: TargetCandidate): number {
  return target.loadAgeMs + target.load.ageMs;
}

/** Estimates the requests at a target: exact local ones plus the reported ones of other daemons. */
export function estimateRequests(candidate: TargetCandidate): number {
  const { load } = candidate.target;
  const others = Math.max(0, load.running + load.queued - candidate.localLoad.requests);
  return candidate.localLoad.requests + others * computeReportWeight(computeAgeMs(candidate));
}

/** Returns the maximum number of tokens that this daemon may use at a target. */
export function computeTokenShare({ target }: TargetCandidate): number {
  const share = Math.floor(target.load.capacityTokens / Math.max(1, target.sharingDaemons));
  // A service that accepts fewer calls than there are daemons must stay usable by each daemon; the
  // reported load then limits the calls.
  return target.group === null ? Math.max(1, share) : share;
}

function estimateFreeTokens(candidate: TargetCandidate): number {
  const { load } = candidate.target;
  const others = Math.max(0, load.heldTokens - candidate.localLoad.tokens);
  const reported = others * computeReportWeight(computeAgeMs(candidate));
  return load.capacityTokens - candidate.localLoad.tokens - reported;
}

/** Tells whether a plain service declares no limit on concurrent calls. */
function isUnbounded({ target }: TargetCandidate): boolean {
  return target.group === null && target.load.capacityTokens === 0;
}

/**
 * Tells whether the request fits in the fixed share of this daemon and in the reported free memory.
 * The share is computed without communication between daemons, and the shares at an engine never
 * add up to more than its memory.
 */
export function hasCapacity(candidate: TargetCandidate, tokens: number): boolean {
  if (isUnbounded(candidate)) return true;
  const shareLeft = computeTokenShare(candidate) - candidate.localLoad.tokens;
  return tokens <= Math.min(shareLeft, estimateFreeTokens(candidate));
}

/** Tells whether the request would fit if the target were idle. */
export function fitsIdleTarget(candidate: TargetCandidate, tokens: number): boolean {
  return isUnbounded(candidate) || tokens <= computeTokenShare(candidate);
}
