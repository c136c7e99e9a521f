import type { CrashReport, Suspect } from './types.ts';

/** One crash of a target, as all gateways together saw it. */
export interface CrashIncident {
  targetKey: string;
  /** Monotonic time of the crash. */
  atMs: number;
  /** Monotonic time at which this gateway learned of the crash, or of further suspects. */
  learnedMs: number;
  suspects: Suspect[];
}

/** Keeps the crashes of the last minutes. */
export interface CrashLedger {
  /** Adds a report; returns whether it tells of a crash or a suspect that was not known yet. */
  addReport(report: CrashReport): boolean;
  /** Lists the crashes, oldest first. */
  listIncidents(): CrashIncident[];
}

/** How long a crash is remembered; a rare request may crash its next target minutes later. */
const INCIDENT_LIFETIME_MS = 600_000;
const MAX_INCIDENTS = 64;
/** Suspects of one crash; a target holds about this many requests whose answers have not begun. */
const MAX_SUSPECTS = 16;

function formatSuspect({ customer, parts }: Suspect): string {
  return [customer, ...parts].join(' ');
}

/** Creates an empty ledger. */
export function createCrashLedger(getMonotonicMs: () => number): CrashLedger {
  let incidents: CrashIncident[] = [];

  const removeOld = (): void => {
    const oldestMs = getMonotonicMs() - INCIDENT_LIFETIME_MS;
    incidents = incidents.filter(({ atMs }) => atMs >= oldestMs).slice(-MAX_INCIDENTS);
  };

  return {
    addReport({ targetKey, suspects, ageMs }) {
      const now = getMonotonicMs();
      const known = incidents.find((incident) => incident.targetKey === targetKey);
      const knownSuspects = new Set(known?.suspects.map(formatSuspect));
      const added = suspects.filter((suspect) => !knownSuspects.has(formatSuspect(suspect)));
      if (added.length === 0) return false;
      if (known === undefined) {
        const incident = { targetKey, atMs: now - ageMs, learnedMs: now, suspects: added };
        incident.suspects = added.slice(0, MAX_SUSPECTS);
        incidents.push(incident);
        incidents.sort((left, right) => left.atMs - right.atMs);
        removeOld();
        return incidents.includes(incident);
      }
      if (known.suspects.length >= MAX_SUSPECTS) return false;
      known.suspects = [...known.suspects, ...added].slice(0, MAX_SUSPECTS);
      known.learnedMs = now;
      return true;
    },
    listIncidents() {
      removeOld();
      return incidents;
    },
  };
}
