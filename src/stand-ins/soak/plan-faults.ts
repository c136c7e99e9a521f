/** Faults that a soak injects, and changes that it makes. */
export enum FaultKind {
  PauseGateway = 'pause-gateway',
  KillGateway = 'kill-gateway',
  StopGateway = 'stop-gateway',
  ReloadGateway = 'reload-gateway',
  BreakStore = 'break-store',
  DropHistory = 'drop-history',
  BreakStoreLink = 'break-store-link',
  BreakTargetLink = 'break-target-link',
  CrashTarget = 'crash-target',
  LeaveTarget = 'leave-target',
  ChangeConfiguration = 'change-configuration',
}

/** One fault of a run. */
export interface PlannedFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  /** From 0 to 1; selects the process, target or way that is hit. */
  pick: number;
  /** From 0 to 1; selects the variant. */
  variant: number;
}

const KINDS: readonly FaultKind[] = Object.values(FaultKind);
/** Quiet time at the start, in which the groups are formed. */
const FIRST_FAULT_MS = 1_000;
/** Time at the end without new faults, in which everything has to recover. */
const LAST_MS = 2_500;
const LONGEST_GAP_MS = 900;
const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 3_500;
/** Part of the faults that follow the one before at once, so that they overlap. */
const SERIES_PART = 0.35;

/** Plans the faults of a run; the same random numbers give the same plan. */
export function planFaults(durationMs: number, random: () => number): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < durationMs - LAST_MS) {
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? FaultKind.KillGateway;
    const longestMs = Math.min(LONGEST_FAULT_MS, durationMs - LAST_MS / 2 - atMs);
    const forMs = SHORTEST_FAULT_MS + random() * Math.max(0, longestMs - SHORTEST_FAULT_MS);
    faults.push({ kind, atMs, forMs, pick: random(), variant: random() });
    atMs += random() < SERIES_PART ? 20 : random() * LONGEST_GAP_MS;
  }
  return faults;
}
