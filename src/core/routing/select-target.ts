import { computeRendezvousOrder } from '../rendezvous/index.ts';
import { canEverHold, computeRequests, hasRoom } from './load.ts';
import type { TargetCandidate, TargetRequest, TargetSelection } from './types.ts';
import { NoTargetReason } from './types.ts';

/** A target with the prefix in its cache is used up to this multiple of the mean load. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** The own availability zone is preferred up to this multiple of the mean load. */
const ZONE_LOAD_FACTOR = 1.25;

/** Groups are named after their serving group, with a hyphen and a replica number. */
const REPLICA_SUFFIX = /-\d+$/;

function getServingGroup({ target }: TargetCandidate): string {
  return target.group === null ? '' : target.group.replace(REPLICA_SUFFIX, '');
}

function computeMeanRequests(candidates: readonly TargetCandidate[]): number {
  return (
    candidates.reduce((sum, candidate) => sum + computeRequests(candidate), 0) / candidates.length
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

/** Chooses a serving group by the weights of the route and returns its candidates. */
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

/** Returns the first target of the prefix whose load is within the bound. */
function findByPrefix(
  candidates: readonly TargetCandidate[],
  prefixKey: string,
): TargetCandidate | undefined {
  const bound = AFFINITY_LOAD_FACTOR * computeMeanRequests(candidates) + 1;
  const byId = new Map(candidates.map((candidate) => [candidate.target.id, candidate]));
  const order = computeRendezvousOrder(prefixKey, [...byId.keys()]);
  const isWithinBound = (candidate: TargetCandidate): boolean =>
    computeRequests(candidate) + 1 <= bound;
  return order
    .map((id) => byId.get(id))
    .find((candidate) => candidate !== undefined && isWithinBound(candidate));
}

/** Keeps the own availability zone unless it has clearly more load than all targets together. */
function selectZone(
  candidates: readonly TargetCandidate[],
  availabilityZone: string,
): readonly TargetCandidate[] {
  const near = candidates.filter(({ target }) => target.availabilityZone === availabilityZone);
  if (near.length === 0) return candidates;
  const bound = ZONE_LOAD_FACTOR * computeMeanRequests(candidates) + 1;
  return computeMeanRequests(near) <= bound ? near : candidates;
}

/**
 * Takes the less loaded of two random targets. Taking the least loaded of all would send the
 * requests of all daemons to one target until the next load report.
 */
function selectLessLoaded(
  candidates: readonly TargetCandidate[],
  random: () => number,
): TargetCandidate | undefined {
  const first = selectByWeight(candidates, () => 1, random);
  const others = candidates.filter((candidate) => candidate !== first);
  const second = selectByWeight(others, () => 1, random);
  if (first === undefined || second === undefined) return first;
  return computeRequests(second) < computeRequests(first) ? second : first;
}

function buildRefusal(
  candidates: readonly TargetCandidate[],
  request: TargetRequest,
): TargetSelection {
  if (candidates.length === 0) return { reason: NoTargetReason.NoneRoutable };
  const fitsLater = candidates.some((candidate) => canEverHold(candidate, request.tokens));
  return { reason: fitsLater ? NoTargetReason.NoRoom : NoTargetReason.TooLarge };
}

/**
 * Chooses the target of a request: serving group by weight, then a target with the prompt prefix
 * in its cache, then a less loaded target of the own availability zone. Cold targets are used only
 * when no warm target has room, because each of their requests costs a slot.
 */
export function selectTarget(
  candidates: readonly TargetCandidate[],
  request: TargetRequest,
  random: () => number,
): TargetSelection {
  const weighted = candidates.filter(({ target }) => target.weight > 0);
  const others = weighted.filter(({ target }) => !request.excludedVms.has(target.vm));
  // A target that is listed again after a failure is better than none.
  const routable = others.length > 0 ? others : weighted;
  const fitting = routable.filter((candidate) => hasRoom(candidate, request.tokens));
  const warm = fitting.filter(({ target }) => target.warm);
  const group = selectServingGroup(warm.length > 0 ? warm : fitting, random);
  if (group.length === 0) return buildRefusal(routable, request);
  const byPrefix =
    request.prefixKey === undefined ? undefined : findByPrefix(group, request.prefixKey);
  const chosen = byPrefix ?? selectLessLoaded(selectZone(group, request.availabilityZone), random);
  if (chosen === undefined) return buildRefusal(routable, request);
  return { target: chosen.target };
}
