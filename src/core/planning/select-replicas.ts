/** A replica that could be formed or repaired from the usable VMs of a domain. */
export interface ReplicaCandidate {
  name: string;
  /** Number of VMs that the replica takes from the pool, including its own survivors. */
  size: number;
  /** Served weight that the replica restores. */
  weight: number;
  /** Number of members that must load weights. */
  loads: number;
}

interface Total {
  weight: number;
  replicas: number;
  loads: number;
}

const EMPTY_TOTAL: Total = { weight: 0, replicas: 0, loads: 0 };

/** Compares by served weight first, then by more replicas, then by fewer loads. */
function isBetter(left: Total, right: Total): boolean {
  if (left.weight !== right.weight) return left.weight > right.weight;
  if (left.replicas !== right.replicas) return left.replicas > right.replicas;
  return left.loads < right.loads;
}

function addCandidate(total: Total, candidate: ReplicaCandidate): Total {
  return {
    weight: total.weight + candidate.weight,
    replicas: total.replicas + 1,
    loads: total.loads + candidate.loads,
  };
}

/**
 * Selects the replicas with the most served weight that fit into the pool. This is a 0/1 knapsack
 * problem over VMs, solved exactly by dynamic programming: the table has one row for each candidate
 * and one column for each VM, at most 2,400 × 600 steps.
 */
export function selectReplicas(
  candidates: readonly ReplicaCandidate[],
  poolSize: number,
): Set<string> {
  const best: Total[] = Array.from({ length: poolSize + 1 }, () => EMPTY_TOTAL);
  const taken = candidates.map((candidate) => {
    const row = new Uint8Array(poolSize + 1);
    for (let capacity = poolSize; capacity >= candidate.size; capacity--) {
      const total = addCandidate(best[capacity - candidate.size] ?? EMPTY_TOTAL, candidate);
      if (!isBetter(total, best[capacity] ?? EMPTY_TOTAL)) continue;
      best[capacity] = total;
      row[capacity] = 1;
    }
    return row;
  });
  const selected = new Set<string>();
  let capacity = poolSize;
  for (let index = candidates.length - 1; index >= 0; index--) {
    const candidate = candidates[index];
    if (candidate === undefined || taken[index]?.[capacity] !== 1) continue;
    selected.add(candidate.name);
    capacity -= candidate.size;
  }
  return selected;
}
