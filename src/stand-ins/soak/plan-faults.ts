/** Faults and configuration changes that a soak test injects. */
export enum FaultKind {
  /** Pauses a gateway process with SIGSTOP and resumes it with SIGCONT. */
  PauseGateway = 'pause-gateway',
  /** Kills a gateway process with SIGKILL and restarts it. */
  KillGateway = 'kill-gateway',
  /** Stops a gateway process with SIGTERM and restarts it. */
  StopGateway = 'stop-gateway',
  /** Makes a gateway reload its settings with SIGHUP. */
  ReloadGateway = 'reload-gateway',
  /** Makes the store fail in the way that the variant selects. */
  BreakStore = 'break-store',
  /** Discards the change history of the store, so that watches have to list again. */
  DropHistory = 'drop-history',
  /** Injects a network fault between a gateway and the store. */
  BreakStoreLink = 'break-store-link',
  /** Injects a network fault in front of a target. */
  BreakTargetLink = 'break-target-link',
  /** Ends a target without notice and starts a new one. */
  CrashTarget = 'crash-target',
  /** Drains and ends a target and starts a new one. */
  LeaveTarget = 'leave-target',
  /** Writes the next configuration version to the store. */
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
