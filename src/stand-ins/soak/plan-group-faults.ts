/** Faults that hit the formation of groups. */
export enum GroupFaultKind {
  /** Takes a zone out of use and back. */
  EvacuateZone = 'evacuate-zone',
  /** Cuts some engines from the store, while requests and orders still reach them. */
  CutEngines = 'cut-engines',
  /** Cuts some engines from the store and from the leader, while requests still reach them. */
  HideEngines = 'hide-engines',
  /** Lets some orders get no response, and be carried out seconds later. */
  DelayOrders = 'delay-orders',
  /** Pauses the gateway that is the leader, and resumes it. */
  PauseLeader = 'pause-leader',
  /** Kills the gateway that is the leader, and restarts it. */
  KillLeader = 'kill-leader',
}

/** One fault of a run; times are in milliseconds since the start of the faults. */
export interface PlannedGroupFault {
  kind: GroupFaultKind;
  atMs: number;
  forMs: number;
  /** Random number in [0, 1) that selects the zone or the engines. */
  selector: number;
}

/** Shortest and longest time of each kind, in milliseconds. */
const DURATIONS: Record<GroupFaultKind, [number, number]> = {
  [GroupFaultKind.EvacuateZone]: [1_500, 6_000],
  [GroupFaultKind.CutEngines]: [2_000, 10_000],
  [GroupFaultKind.HideEngines]: [4_000, 10_000],
  [GroupFaultKind.DelayOrders]: [2_000, 5_500],
  [GroupFaultKind.PauseLeader]: [1_000, 4_000],
  [GroupFaultKind.KillLeader]: [0, 0],
};
/** Zones are taken out and orders are late more often than the other faults come. */
const KINDS: readonly GroupFaultKind[] = [
  GroupFaultKind.EvacuateZone,
  GroupFaultKind.CutEngines,
  GroupFaultKind.DelayOrders,
  GroupFaultKind.PauseLeader,
  GroupFaultKind.KillLeader,
  GroupFaultKind.EvacuateZone,
  GroupFaultKind.EvacuateZone,
  GroupFaultKind.DelayOrders,
];
/** Kinds of a run in which engines are hidden; without that, seeds keep their plans. */
const KINDS_WITH_HIDDEN_ENGINES: readonly GroupFaultKind[] = [
  ...KINDS,
  GroupFaultKind.HideEngines,
  GroupFaultKind.HideEngines,
  GroupFaultKind.HideEngines,
];
const FIRST_FAULT_MS = 500;
/** Time at the end of a run without faults, in which the groups form again. */
export const GROUP_RECOVERY_MS = 6_000;
const MAX_GAP_MS = 1_500;

/**
 * Plans the faults of a run; the plan is deterministic for a given sequence of random numbers. Engines are
 * hidden from the leader only if `areEnginesHidden`.
 */
export function planGroupFaults(
  durationMs: number,
  random: () => number,
  areEnginesHidden = false,
): PlannedGroupFault[] {
  const kinds = areEnginesHidden ? KINDS_WITH_HIDDEN_ENGINES : KINDS;
  const faults: PlannedGroupFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < durationMs - GROUP_RECOVERY_MS) {
    const kind = kinds[Math.floor(random() * kinds.length)] ?? GroupFaultKind.EvacuateZone;
    const [minMs, maxMs] = DURATIONS[kind];
    const drawnMs = minMs + random() * (maxMs - minMs);
    const forMs = Math.min(drawnMs, durationMs - GROUP_RECOVERY_MS - atMs);
    faults.push({ kind, atMs, forMs, selector: random() });
    atMs += random() * MAX_GAP_MS;
  }
  return faults;
}
