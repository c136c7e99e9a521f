import type { CrashIncident } from './crash-ledger.ts';
import type { PartKey, Suspect } from './types.ts';
import { hasAllParts } from './types.ts';

/** Parts of prompts that crash targets together, and the crashes that show it. */
export interface Culprit {
  parts: PartKey[];
  /** Customers of the requests that crashed targets. */
  customers: string[];
  incidents: CrashIncident[];
}

/** Crashes within this time may have a common cause outside the requests. */
const CORRELATED_MS = 100;
/** Crashes that condemn a part with which no answer is known to have begun. */
const MIN_CRASHES = 2;
/** Crashes since the last answer that condemn a part with which answers had begun before. */
const MIN_CRASHES_AFTER_ANSWER = 3;
/** With so many crashes more than needed, a part is condemned although another one may be the cause. */
const DECISIVE_EXCESS = 2;
/** Larger sets are too particular to be the cause; further crashes narrow them down. */
const MAX_PARTS = 8;

/** Parts that were in the same requests at all crashes, so that they cannot be told apart. */
interface PartSet {
  parts: PartKey[];
  incidents: ReadonlySet<CrashIncident>;
  suspects: ReadonlySet<Suspect>;
  /** Crashes beyond those that are needed to condemn the parts. */
  excess: number;
}

/** Groups crashes at nearly the same time. */
function groupCorrelated(incidents: readonly CrashIncident[]): CrashIncident[][] {
  const groups: CrashIncident[][] = [];
  for (const incident of incidents) {
    const group = groups.at(-1);
    const isCorrelated = incident.atMs - (group?.[0]?.atMs ?? -Infinity) < CORRELATED_MS;
    if (group !== undefined && isCorrelated) group.push(incident);
    else groups.push([incident]);
  }
  return groups;
}

/**
 * Counts the crashes that a part was involved in. Targets that crash together usually have a cause
 * outside the requests; a part counts once then, unless it was at each of them.
 */
function countIndependent(
  groups: readonly CrashIncident[][],
  involved: ReadonlySet<CrashIncident>,
): number {
  return groups
    .map((group) => {
      const count = group.filter((incident) => involved.has(incident)).length;
      return count === group.length ? count : Math.min(1, count);
    })
    .reduce((sum, count) => sum + count, 0);
}

/** Builds the sets with enough crashes since the last answer, those with most crashes first. */
function buildPartSets(
  incidents: readonly CrashIncident[],
  getBegunMs: (part: PartKey) => number | undefined,
): PartSet[] {
  const occurrences = new Map<PartKey, { incident: CrashIncident; suspect: Suspect }[]>();
  const positions = new Map<Suspect, number>();
  for (const incident of incidents) {
    for (const suspect of incident.suspects) {
      positions.set(suspect, positions.size);
      for (const part of suspect.parts) {
        if (incident.atMs <= (getBegunMs(part) ?? -Infinity)) continue;
        const known = occurrences.get(part);
        if (known === undefined) occurrences.set(part, [{ incident, suspect }]);
        else known.push({ incident, suspect });
      }
    }
  }
  const groups = groupCorrelated(incidents);
  const sets = new Map<string, PartSet>();
  for (const [part, involved] of occurrences) {
    const needed = getBegunMs(part) === undefined ? MIN_CRASHES : MIN_CRASHES_AFTER_ANSWER;
    const suspects = new Set(involved.map(({ suspect }) => suspect));
    const key = [needed, ...[...suspects].map((suspect) => positions.get(suspect))].join(' ');
    const known = sets.get(key);
    if (known === undefined) {
      const involvedIncidents = new Set(involved.map(({ incident }) => incident));
      const excess = countIndependent(groups, involvedIncidents) - needed;
      sets.set(key, { parts: [part], incidents: involvedIncidents, suspects, excess });
    } else known.parts.push(part);
  }
  return [...sets.values()]
    .filter(({ excess }) => excess >= 0)
    .sort((left, right) => right.excess - left.excess);
}

/** Finds the set that explains its crashes better than any other. */
function findCulprit(sets: readonly PartSet[]): Culprit | undefined {
  const culprit = sets.find((candidate) => {
    if (candidate.parts.length > MAX_PARTS) return false;
    const hasRival = sets.some(
      (other) =>
        other !== candidate &&
        other.excess >= candidate.excess &&
        [...other.incidents].some((incident) => candidate.incidents.has(incident)),
    );
    return !hasRival || candidate.excess >= DECISIVE_EXCESS;
  });
  return (
    culprit && {
      parts: culprit.parts.sort(),
      customers: [...new Set([...culprit.suspects].map(({ customer }) => customer))],
      incidents: [...culprit.incidents],
    }
  );
}

/**
 * Selects the parts of prompts that crash targets. A part is condemned if it was in a request without
 * an answer at several crashes, and no answer has begun with it since the first of them. Parts that
 * cannot be told apart are condemned together: only requests with all of them are then refused.
 */
export function selectCulprits(
  incidents: readonly CrashIncident[],
  getBegunMs: (part: PartKey) => number | undefined,
): Culprit[] {
  const culprits: Culprit[] = [];
  let unexplained = [...incidents];
  for (;;) {
    const culprit = findCulprit(buildPartSets(unexplained, getBegunMs));
    if (culprit === undefined) return culprits;
    culprits.push(culprit);
    unexplained = unexplained.filter(
      ({ suspects }) => !suspects.some(({ parts }) => hasAllParts(parts, culprit.parts)),
    );
  }
}
