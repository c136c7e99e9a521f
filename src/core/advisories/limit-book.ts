import { MAX_LIMITS, MAX_NOTICES } from './consts.ts';
import type { LimitNotice } from './types.ts';

/** The newest limit of one target. */
export interface LimitEntry {
  /** Undefined if the limit is over. */
  requestsPerSecond: number | undefined;
  /** Fleet time from which the statement is. */
  statedMs: number;
  /** Fleet time at which the limit changed last. */
  changedMs: number;
  /** Fleet time of the last turn that this gateway has taken. */
  lastTurnMs: number;
}

/** The newest statement of each target about its limit, from all gateways. */
export interface LimitBook {
  /** Adds a statement unless a newer one is known. */
  addNotice(notice: LimitNotice): void;
  findEntry(targetKey: string): LimitEntry | undefined;
  /** Selects what fits into one packet; each call moves on to other limits. */
  takeNotices(): LimitNotice[];
  /** Counts the targets that have a limit. */
  countLimits(): number;
  /** Removes the targets that the given function rejects. */
  removeOthers(isKept: (targetKey: string) => boolean): void;
}

/** Creates an empty book. */
export function createLimitBook(getFleetMs: () => number): LimitBook {
  const entries = new Map<string, LimitEntry>();
  let cursor = 0;

  return {
    addNotice({ targetKey, requestsPerSecond, statedMs }) {
      const now = getFleetMs();
      const known = entries.get(targetKey);
      if (known === undefined && requestsPerSecond === undefined) return;
      if (known !== undefined && known.statedMs >= statedMs) return;
      const isChanged = known?.requestsPerSecond !== requestsPerSecond;
      entries.set(targetKey, {
        requestsPerSecond,
        statedMs: Math.min(statedMs, now),
        changedMs: isChanged || known === undefined ? now : known.changedMs,
        // The turns before a limit are not to be made up for.
        lastTurnMs: known?.requestsPerSecond === undefined ? now : known.lastTurnMs,
      });
      const [oldest] = entries.keys();
      if (entries.size > MAX_LIMITS && oldest !== undefined) entries.delete(oldest);
    },
    findEntry: (targetKey) => entries.get(targetKey),
    takeNotices() {
      const sorted = [...entries].sort(([, left], [, right]) => right.changedMs - left.changedMs);
      const recentCount = Math.min(sorted.length, MAX_NOTICES / 2);
      const others = sorted.slice(recentCount);
      const inTurn = Array.from(
        { length: Math.min(others.length, MAX_NOTICES / 2) },
        (_, index) => others[(cursor + index) % others.length]!,
      );
      cursor += MAX_NOTICES / 2;
      return [...sorted.slice(0, recentCount), ...inTurn].map(
        ([targetKey, { requestsPerSecond, statedMs }]) => ({
          targetKey,
          requestsPerSecond,
          statedMs,
        }),
      );
    },
    countLimits: () =>
      [...entries.values()].filter((entry) => entry.requestsPerSecond !== undefined).length,
    removeOthers(isKept) {
      [...entries.keys()].filter((key) => !isKept(key)).forEach((key) => entries.delete(key));
    },
  };
}
