import { computeRendezvousOrder } from '../rendezvous/index.ts';
import { fitsIdleTarget, estimateRequests, hasCapacity } from './load.ts';
import type { TargetCandidate, TargetRequest, TargetSelection } from './types.ts';
import { NoTargetReason } from './types.ts';

/** Prefix affinity applies while the target has at most this multiple of the mean load. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** The local availability zone is preferred up to this multiple of the mean load. */
const ZONE_LOAD_FACTOR = 1.25;

/** A group name consists of the serving group name, a hyphen and a replica number. */
const REPLICA_SUFFIX = /-\d+$/;

function getServingGroup({ target }: TargetCandidate): string {
  return target.group === null ? '' : target.group.replace(REPLICA_SUFFIX, '');
}

function computeMeanRequests(candidates: readonly TargetCandidate[]): number {
  return (
    candidates.reduce((sum, candidate) => sum + estimateRequests(candidate), 0) / candidates.length
  );
}

function selectByWeight<Item>(
  items: readonly Item[],
  getWeight: (item: Item) => number,
  random: () => number,
): Item | undefined {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0);
  let rest = random() * total;
  for (const item of items) {
    rest -= getWeight(item);
    if (rest < 0) return item;
  }
  return items.at(-1);
}

/** Selects a serving group at random by the weights of the route and returns its candidates. */
function selectServingGroup(
  candidates: readonly TargetCandidate[],
  random: () => number,
): TargetCandidate[] {
  const byGroup = new Map<string, TargetCandidate[]>();
  candidates.forEach((candidate) => {
    const name = getServingGroup(candidate);
    byGroup.set(name, [...(byGroup.get(name) ?? []), candidate]);
  });
  const getWeight = (group: TargetCandidate[]): number => group[0]?.target.weight ?? 0;
  return selectByWeight([...byGroup.values()], getWeight, random) ?? [];
}

/** Returns the first target in the rendezvous order of the prefix with a load within the limit. */
function findByPrefix(
  candidates: readonly TargetCandidate[],
  prefixKey: string,
): TargetCandidate | undefined {
  const bound = AFFINITY_LOAD_FACTOR * computeMeanRequests(candidates) + 1;
  const byId = new Map(candidates.map((candidate) => [candidate.target.id, candidate]));
  const order = computeRendezvousOrder(prefixKey, [...byId.keys()]);
  const isWithinBound = (candidate: TargetCandidate): boolean =>
    estimateRequests(candidate) + 1 <= bound;
  return order
    .map((id) => byId.get(id))
    .find((candidate) => candidate !== undefined && isWithinBound(candidate));
}

/**
 * Returns the candidates in the local availability zone, unless their mean load exceeds
 * `ZONE_LOAD_FACTOR` times the mean load of all candidates by more than one request.
 */
function selectZone(
  candidates: readonly TargetCandidate[],
  availabilityZone: string,
): readonly TargetCandidate[] {
  const localCandidates = candidates.filter(
    ({ target }) => target.availabilityZone === availabilityZone,
  );
  if (localCandidates.length === 0) return candidates;
  const bound = ZONE_LOAD_FACTOR * computeMeanRequests(candidates) + 1;
  return computeMeanRequests(localCandidates) <= bound ? localCandidates : candidates;
}

/**
 * Selects the less loaded of two random targets (power of two choices). Selecting the least loaded
 * of all would send the requests of all daemons to one target until the next load report.
 */
function selectLessLoaded(
  candidates: readonly TargetCandidate[],
  random: () => number,
): TargetCandidate | undefined {
  const first = selectByWeight(candidates, () => 1, random);
  const others = candidates.filter((candidate) => candidate !== first);
  const second = selectByWeight(others, () => 1, random);
  if (first === undefined || second === undefined) return first;
  return estimateRequests(second) < estimateRequests(first) ? second : first;
}

function buildRefusal(
  candidates: readonly TargetCandidate[],
  request: TargetRequest,
): TargetSelection {
  if (candidates.length === 0) return { reason: NoTargetReason.NoneRoutable };
  const fitsLater = candidates.some((candidate) => fitsIdleTarget(candidate, request.tokens));
  return { reason: fitsLater ? NoTargetReason.NoCapacity : NoTargetReason.TooLarge };
}

/**
 * Selects the target of a request: first a serving group by weight, then a target by prompt prefix,
 * or else the less loaded of two random targets, preferably in the local availability zone. Cold
 * targets are used only when no warm target has capacity, because each request there takes a slot.
 */
export function selectTarget(
  candidates: readonly TargetCandidate[],
  request: TargetRequest,
  random: () => number,
): TargetSelection {
  const weighted = candidates.filter(({ target }) => target.weight > 0);
  const others = weighted.filter(({ target }) => !request.excludedVms.has(target.vm));
  // A target that failed earlier but is routable again is better than no target.
  const routable = others.length > 0 ? others : weighted;
  const fitting = routable.filter((candidate) => hasCapacity(candidate, request.tokens));
  const warm = fitting.filter(({ target }) => target.warm);
  const group = selectServingGroup(warm.length > 0 ? warm : fitting, random);
  if (group.length === 0) return buildRefusal(routable, request);
  const byPrefix =
    request.prefixKey === undefined ? undefined : findByPrefix(group, request.prefixKey);
  const chosen = byPrefix ?? selectLessLoaded(selectZone(group, request.availabilityZone), random);
  if (chosen === undefined) return buildRefusal(routable, request);
  return { target: chosen.target };
}
