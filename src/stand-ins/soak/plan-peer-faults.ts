/** Loads that slow peers put on a gateway, and series of signals; one kind for each way to be slow. */
export enum PeerFaultKind {
  /** Callers request large answers and read nothing. */
  UnreadAnswers = 'unread-answers',
  /** Callers request long streams and read nothing. */
  UnreadStreams = 'unread-streams',
  /** Callers read large answers slowly. */
  SlowAnswers = 'slow-answers',
  /** Callers read large answers at once. */
  LargeAnswers = 'large-answers',
  /** Targets answer without end; some callers read, others do not. */
  EndlessAnswers = 'endless-answers',
  /** Callers send bodies slowly. */
  SlowBodies = 'slow-bodies',
  /** Callers stop in the middle of their bodies. */
  StoppedBodies = 'stopped-bodies',
  /** Callers send bodies of the largest size, which targets read at once. */
  LargeBodies = 'large-bodies',
  /** Targets read bodies of the largest size slowly. */
  SlowTargets = 'slow-targets',
  /** One caller sends many requests on a connection without waiting for answers. */
  Pipeline = 'pipeline',
  /** Callers open connections, send a part of a request or nothing, and go silent. */
  SilentConnections = 'silent-connections',
  /** Callers send requests on their connections until the process closes them. */
  KeptConnections = 'kept-connections',
  /** Signals and restarts that follow each other closely. */
  SignalSeries = 'signal-series',
}

/** One load of a run; times are in milliseconds since the start of the faults. */
export interface PlannedPeerFault {
  kind: PeerFaultKind;
  atMs: number;
  forMs: number;
  /** Random number in [0, 1) that selects the gateway. */
  selector: number;
  /** Random number in [0, 1) that selects the size of the load or the series of signals. */
  variant: number;
}

const KINDS: readonly PeerFaultKind[] = Object.values(PeerFaultKind);
const FIRST_FAULT_MS = 500;
/** Time at the end without new loads, in which the system has to recover. */
const RECOVERY_MS = 2_500;
const MIN_FAULT_MS = 1_500;
const MAX_FAULT_MS = 6_000;
const MAX_GAP_MS = 1_500;

/** Plans the loads of a run; the plan is deterministic for a given sequence of random numbers. */
export function planPeerFaults(durationMs: number, random: () => number): PlannedPeerFault[] {
  const faults: PlannedPeerFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < durationMs - RECOVERY_MS) {
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? PeerFaultKind.UnreadAnswers;
    const maxMs = Math.min(MAX_FAULT_MS, durationMs - RECOVERY_MS / 2 - atMs);
    const forMs = MIN_FAULT_MS + random() * Math.max(0, maxMs - MIN_FAULT_MS);
    faults.push({ kind, atMs, forMs, selector: random(), variant: random() });
    atMs += random() * MAX_GAP_MS;
  }
  return faults;
}
