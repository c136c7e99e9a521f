import type { CrashIncident } from './crash-ledger.ts';
import { computeHoldMs } from './hold-time.ts';
import type { Culprit } from './select-culprits.ts';
import type { PartKey, QuarantineNotice } from './types.ts';
import { hasAllParts } from './types.ts';

/** A set of parts; requests that have them all are refused, but for single trials. */
export interface QuarantineEntry {
  parts: readonly PartKey[];
  customers: ReadonlySet<string>;
  crashes: number;
  lastCrashMs: number;
}

/** The sets of parts in quarantine. */
export interface QuarantineList {
  /** Adds a culprit; returns its entry. */
  addCulprit(culprit: Culprit): QuarantineEntry;
  /** Adds or updates what another gateway tells; returns the entry if it is new. */
  addNotice(notice: QuarantineNotice): QuarantineEntry | undefined;
  /** Counts a crash for each set that explains it; returns whether one does. */
  countCrash(incident: CrashIncident): boolean;
  /** Narrows down or removes the sets with a part that has turned out sound; returns them. */
  clearPart(part: PartKey, begunMs: number): QuarantineEntry[];
  /** Finds the sets that hold for a request. */
  findEntries(customer: string, parts: readonly PartKey[]): QuarantineEntry[];
  listEntries(): QuarantineEntry[];
}

/** Entries that are kept; the ones with the oldest crashes go first. */
const MAX_ENTRIES = 32;
/** Time after its last crash after which a set is forgotten. */
const ENTRY_LIFETIME_MS = 24 * 3_600_000;
/** Customers that an entry names; two make it hold for all. */
const CUSTOMERS_FOR_ALL = 2;
/**
 * Crashes and notices within this time of a known crash are the same one. It also keeps the time of a
 * crash from moving on as gateways pass it to each other.
 */
const SAME_CRASH_MS = 500;

interface StoredEntry extends QuarantineEntry {
  customers: Set<string>;
  countedTargets: Set<string>;
}

/** Returns the time at which the next trial is allowed. */
export function getTrialMs({ lastCrashMs, crashes }: QuarantineEntry): number {
  return lastCrashMs + computeHoldMs(crashes);
}

/** Creates an empty list. */
export function createQuarantineList(getMonotonicMs: () => number): QuarantineList {
  const entries = new Map<string, StoredEntry>();

  const removeOld = (): void => {
    const oldestMs = getMonotonicMs() - ENTRY_LIFETIME_MS;
    const sorted = [...entries].sort(([, left], [, right]) => right.lastCrashMs - left.lastCrashMs);
    sorted.forEach(([key, { lastCrashMs }], index) => {
      if (index >= MAX_ENTRIES || lastCrashMs < oldestMs) entries.delete(key);
    });
  };

  const addCustomers = (entry: StoredEntry, customers: Iterable<string>): void => {
    for (const customer of customers) {
      if (entry.customers.size < CUSTOMERS_FOR_ALL) entry.customers.add(customer);
    }
  };

  /** Finds an entry that holds for every request with these parts. */
  const findCovering = (parts: readonly PartKey[]): StoredEntry | undefined =>
    [...entries.values()].find((entry) => hasAllParts(parts, entry.parts));

  /** Finds the entry that covers the parts, or creates one in place of those that it covers. */
  const getEntry = (parts: readonly PartKey[], lastCrashMs: number): StoredEntry => {
    const known = findCovering(parts);
    if (known !== undefined) return known;
    const created: StoredEntry = {
      parts: [...parts].sort(),
      customers: new Set(),
      crashes: 0,
      lastCrashMs,
      countedTargets: new Set(),
    };
    for (const [key, entry] of entries) if (hasAllParts(entry.parts, parts)) entries.delete(key);
    entries.set(created.parts.join(' '), created);
    removeOld();
    return created;
  };

  return {
    addCulprit({ parts, customers, incidents }) {
      const lastCrashMs = Math.max(...incidents.map(({ atMs }) => atMs));
      const entry = getEntry(parts, lastCrashMs);
      addCustomers(entry, customers);
      incidents.forEach(({ targetKey }) => entry.countedTargets.add(targetKey));
      entry.crashes = Math.max(entry.crashes, incidents.length);
      entry.lastCrashMs = Math.max(entry.lastCrashMs, lastCrashMs);
      return entry;
    },
    addNotice({ parts, customers, crashes, ageMs }) {
      const lastCrashMs = getMonotonicMs() - ageMs;
      const isNew = findCovering(parts) === undefined;
      const entry = getEntry(parts, lastCrashMs);
      addCustomers(entry, customers);
      entry.crashes = Math.max(entry.crashes, crashes);
      if (lastCrashMs > entry.lastCrashMs + SAME_CRASH_MS) entry.lastCrashMs = lastCrashMs;
      return isNew ? entry : undefined;
    },
    countCrash({ targetKey, atMs, suspects }) {
      let isExplained = false;
      for (const entry of entries.values()) {
        const culprits = suspects.filter((suspect) => hasAllParts(suspect.parts, entry.parts));
        if (culprits.length === 0) continue;
        isExplained = true;
        addCustomers(
          entry,
          culprits.map(({ customer }) => customer),
        );
        if (entry.countedTargets.has(targetKey)) continue;
        entry.countedTargets.add(targetKey);
        if (atMs <= entry.lastCrashMs + SAME_CRASH_MS) continue;
        entry.crashes++;
        entry.lastCrashMs = atMs;
      }
      return isExplained;
    },
    clearPart(part, begunMs) {
      const cleared = [...entries].filter(
        ([, entry]) => entry.parts.includes(part) && begunMs > entry.lastCrashMs,
      );
      for (const [key, entry] of cleared) {
        entries.delete(key);
        const rest = entry.parts.filter((one) => one !== part);
        if (rest.length === 0) continue;
        const narrowed = getEntry(rest, entry.lastCrashMs);
        addCustomers(narrowed, entry.customers);
        narrowed.crashes = Math.max(narrowed.crashes, entry.crashes);
        entry.countedTargets.forEach((target) => narrowed.countedTargets.add(target));
      }
      return cleared.map(([, entry]) => entry);
    },
    findEntries: (customer, parts) =>
      [...entries.values()].filter(
        (entry) =>
          hasAllParts(parts, entry.parts) &&
          (entry.customers.size >= CUSTOMERS_FOR_ALL || entry.customers.has(customer)),
      ),
    listEntries() {
      removeOld();
      return [...entries.values()];
    },
  };
}
