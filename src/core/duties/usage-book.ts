import type { TimerService } from '../timers/index.ts';
import type { GatewayUsage } from './types.ts';

/** Dependencies and settings of a usage book. */
export interface UsageBookOptions {
  vmName: string;
  incarnation: number;
  /** Length of a usage window. */
  windowMs: number;
  timers: Pick<TimerService, 'getMonotonicMs' | 'getWallMs'>;
}

/** Counts of this gateway and of others, by window. */
export interface UsageBook {
  /** Counts a request of the customer whose answer begins now. */
  recordBegin(customer: string): void;
  /** Notes that this process lives in the window of this moment, and forgets old windows. */
  tick(): void;
  receiveUsage(usage: readonly GatewayUsage[]): void;
  /**
   * Takes the counts for the next packet, if it is time for some. `isRelayed` selects other gateways
   * whose counts are sent as well.
   */
  takeUsage(isRelayed: (vmName: string, incarnation: number) => boolean): GatewayUsage[];
  /** Returns the number of the window at a wall time. */
  getWindow(wallMs: number): number;
  /** Sums the counts of a window by customer; undefined if nothing is known of the window. */
  sumCounts(window: number): ReadonlyMap<string, number> | undefined;
}

/** Windows of which counts are kept. */
export const RETAINED_WINDOWS = 24;
/** Interval at which the counts of recent windows are sent. */
const SEND_PERIOD_MS = 450;
/** Interval at which older windows are sent again, for gateways that have become hubs. */
const REFRESH_PERIOD_MS = 2_000;
/** Age of a window's end up to which it is sent each time. */
const RECENT_MS = 2_000;
/** Age of a window's end up to which it is sent again and its counts are kept by gateway. */
const OPEN_MS = 12_000;
/** Bytes of the counts in one packet. */
const MAX_SENT_BYTES = 12_000;
/** Bytes of one count besides the customer's name. */
const ENTRY_BYTES = 10;
/** Longest time between two ticks of a process that runs. */
const MAX_TICK_GAP_MS = 2_000;
/** Limits on what other gateways can add, as packets can name anything. */
const MAX_SOURCES = 1_500;
const MAX_CUSTOMERS = 2_000;

/** Counts of one process in one window. */
interface SourceCounts {
  vmName: string;
  incarnation: number;
  counts: Map<string, number>;
}

/** Counts of one window. */
interface WindowCounts {
  sources: Map<string, SourceCounts>;
  /** Sums, once no further counts are taken. */
  totals: Map<string, number> | undefined;
}

interface SentEntry {
  source: SourceCounts;
  window: number;
  customer: string;
  requests: number;
}

function formatSourceKey(vmName: string, incarnation: number): string {
  return `${vmName}/${incarnation}`;
}

function sumSources(sources: Iterable<SourceCounts>): Map<string, number> {
  const totals = new Map<string, number>();
  for (const { counts } of sources) {
    for (const [customer, requests] of counts) {
      totals.set(customer, (totals.get(customer) ?? 0) + requests);
    }
  }
  return totals;
}

/** Takes entries from a position on, around the end, as far as they fit into a packet. */
function takeEntries(entries: readonly SentEntry[], start: number): SentEntry[] {
  let bytes = 0;
  const taken: SentEntry[] = [];
  for (let index = 0; index < entries.length; index++) {
    const entry = entries[(start + index) % entries.length]!;
    bytes += Buffer.byteLength(entry.customer) + ENTRY_BYTES;
    if (bytes > MAX_SENT_BYTES) break;
    taken.push(entry);
  }
  return taken;
}

/** Groups entries by gateway and window. */
function groupEntries(entries: readonly SentEntry[]): GatewayUsage[] {
  const groups = new Map<string, GatewayUsage & { counts: Map<string, number> }>();
  for (const { source, window, customer, requests } of entries) {
    const { vmName, incarnation } = source;
    const key = `${window}/${formatSourceKey(vmName, incarnation)}`;
    const group = groups.get(key) ?? { vmName, incarnation, window, counts: new Map() };
    group.counts.set(customer, requests);
    groups.set(key, group);
  }
  return [...groups.values()];
}

/** Creates an empty book. */
export function createUsageBook(options: UsageBookOptions): UsageBook {
  const { vmName, incarnation, windowMs, timers } = options;
  const ownKey = formatSourceKey(vmName, incarnation);
  const windows = new Map<number, WindowCounts>();
  let sentMs = -Infinity;
  let refreshedMs = -Infinity;
  let cursor = 0;
  /** Window of the last tick. */
  let tickedWindow = Infinity;

  const getWindow = (wallMs: number): number => Math.floor(wallMs / windowMs);
  /** Returns how long ago a window ended, in ms; negative before its end. */
  const getAgeMs = (window: number): number => timers.getWallMs() - (window + 1) * windowMs;

  const openWindow = (window: number): WindowCounts => {
    const known = windows.get(window) ?? { sources: new Map(), totals: undefined };
    windows.set(window, known);
    return known;
  };

  const openSource = (
    window: number,
    source: Pick<SourceCounts, 'vmName' | 'incarnation'>,
  ): SourceCounts | undefined => {
    const { sources, totals } = openWindow(window);
    if (totals !== undefined) return undefined;
    const key = formatSourceKey(source.vmName, source.incarnation);
    const known = sources.get(key);
    if (known !== undefined || sources.size >= MAX_SOURCES) return known;
    const added = {
      vmName: source.vmName,
      incarnation: source.incarnation,
      counts: new Map<string, number>(),
    };
    sources.set(key, added);
    return added;
  };

  const isTaken = (window: number): boolean => {
    const current = getWindow(timers.getWallMs());
    // The clock of another VM may be ahead by a little.
    return window > current - RETAINED_WINDOWS && window <= current + 1;
  };

  const listEntries = (
    maxAgeMs: number,
    isSent: (key: string, source: SourceCounts) => boolean,
  ): SentEntry[] =>
    [...windows].flatMap(([window, { sources }]) =>
      getAgeMs(window) > maxAgeMs
        ? []
        : [...sources].flatMap(([key, source]) =>
            !isSent(key, source)
              ? []
              : [...source.counts].map(([customer, requests]) => ({
                  source,
                  window,
                  customer,
                  requests,
                })),
          ),
    );

  return {
    getWindow,
    recordBegin(customer) {
      const source = openSource(getWindow(timers.getWallMs()), { vmName, incarnation });
      if (source === undefined) return;
      source.counts.set(customer, (source.counts.get(customer) ?? 0) + 1);
    },
    tick() {
      const current = getWindow(timers.getWallMs());
      const isStep = (current - tickedWindow) * windowMs > MAX_TICK_GAP_MS + windowMs;
      // Windows that a step of the clock jumps over are not known to be empty.
      const first = isStep ? current : Math.min(tickedWindow + 1, current);
      for (let window = first; window <= current; window++) openWindow(window);
      tickedWindow = current;
      for (const [window, counts] of windows) {
        if (!isTaken(window)) windows.delete(window);
        else if (counts.totals === undefined && getAgeMs(window) > OPEN_MS) {
          counts.totals = sumSources(counts.sources.values());
          counts.sources.clear();
        }
      }
    },
    receiveUsage(usage) {
      for (const { window, counts, ...gateway } of usage) {
        const isOwn = formatSourceKey(gateway.vmName, gateway.incarnation) === ownKey;
        const source = isOwn || !isTaken(window) ? undefined : openSource(window, gateway);
        for (const [customer, requests] of source === undefined ? [] : counts) {
          const known = source?.counts.get(customer);
          const isFull = known === undefined && (source?.counts.size ?? 0) >= MAX_CUSTOMERS;
          // A packet that arrives late holds fewer requests than are known.
          if (!isFull && requests > (known ?? 0)) source?.counts.set(customer, requests);
        }
      }
    },
    takeUsage(isRelayed) {
      const now = timers.getMonotonicMs();
      if (now - sentMs < SEND_PERIOD_MS) return [];
      sentMs = now;
      const isRefresh = now - refreshedMs >= REFRESH_PERIOD_MS;
      if (isRefresh) refreshedMs = now;
      const entries = isRefresh
        ? listEntries(
            OPEN_MS,
            (key, source) => key === ownKey || isRelayed(source.vmName, source.incarnation),
          )
        : listEntries(RECENT_MS, (key) => key === ownKey);
      const taken = takeEntries(entries, cursor);
      cursor = taken.length === entries.length ? 0 : (cursor + taken.length) % entries.length;
      return groupEntries(taken);
    },
    sumCounts(window) {
      const known = windows.get(window);
      return known && (known.totals ?? sumSources(known.sources.values()));
    },
  };
}
