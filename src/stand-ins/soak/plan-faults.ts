/** Faults and configuration changes that a soak test injects. */
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

/** One fault of a run; times are in milliseconds since the start of the faults. */
export interface PlannedFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  /** Random number in [0, 1) that selects the gateway or target to inject the fault into. */
  selector: number;
  /** Random number in [0, 1) that selects the variant of the fault. */
  variant: number;
}

const KINDS: readonly FaultKind[] = Object.values(FaultKind);
/** Time at the start without faults, in which the groups form. */
const FIRST_FAULT_MS = 1_000;
/** Time at the end without new faults, in which the system has to recover. */
const RECOVERY_MS = 2_500;
const MAX_GAP_MS = 900;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_500;
/** Probability that the next fault follows after only 20 ms, so that faults overlap. */
const OVERLAP_PROBABILITY = 0.35;

/** Plans the faults of a run; the plan is deterministic for a given sequence of random numbers. */
export function planFaults(durationMs: number, random: () => number): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < durationMs - RECOVERY_MS) {
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? FaultKind.KillGateway;
    const maxMs = Math.min(MAX_FAULT_MS, durationMs - RECOVERY_MS / 2 - atMs);
    const forMs = MIN_FAULT_MS + random() * Math.max(0, maxMs - MIN_FAULT_MS);
    faults.push({ kind, atMs, forMs, selector: random(), variant: random() });
    atMs += random() < OVERLAP_PROBABILITY ? 20 : random() * MAX_GAP_MS;
  }
  return faults;
}
