import type { Logger } from '../logs/index.ts';
import type { StoreClient } from '../store/index.ts';
import { StoreFailure, StoreKind } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { DutyCalls, DutyHolder, UsageReport } from './types.ts';
import { DutyCallResult } from './types.ts';
import type { UsageBook } from './usage-book.ts';
import { RETAINED_WINDOWS } from './usage-book.ts';
import type { UsageRecord } from './usage-record.ts';
import { buildRestoredRecord, encodeUsageRecord, parseUsageRecord } from './usage-record.ts';

/** How the report of a window ended. */
export enum WindowResult {
  Reported = 'reported',
  /** Accepted, but later than it was due. */
  Late = 'late',
  /** The platform refuses the report. */
  Rejected = 'rejected',
  /** Reported by nobody, as its counts are not known or may differ from those reported before. */
  Lost = 'lost',
}

/** Dependencies and settings of the reporter. */
export interface UsageReporterOptions {
  windowMs: number;
  /** Time after the end of a window at which its report is due. */
  lateMs: number;
  book: Pick<UsageBook, 'getWindow' | 'sumCounts'>;
  store: Pick<StoreClient, 'fetchObject' | 'createObject' | 'replaceObject'>;
  calls: Pick<DutyCalls, 'reportUsage'>;
  timers: Pick<TimerService, 'getWallMs'>;
  logger: Logger;
  /** Returns the holder if it is this process and it may make calls now. */
  getHolder(): DutyHolder | undefined;
  /** Called with the windows that ended in the same way. */
  countWindows(result: WindowResult, count: number): void;
}

/** Reports the usage of each window to the platform while this process is the holder. */
export interface UsageReporter {
  /** Fixes and reports what is due; does nothing while an earlier step is under way. */
  step(): Promise<void>;
}

const OBJECT_NAME = 'usage';
/** Longest wait for late packets after the end of a window. */
const SETTLE_MS = 1_500;
/** Share of the time until a report is due that the wait for late packets may take. */
const SETTLE_SHARE = 0.25;
/** Difference of the clocks of two holders for which windows are given up in time. */
const CLOCK_SLACK_MS = 1_000;

/** What this process knows of the stored record, in one term. */
interface HeldRecord {
  token: number;
  record: UsageRecord;
  /** Revision of the stored object; undefined if there is none. */
  revision: number | undefined;
  /** Whether the record has to be written before anything else. */
  isChanged: boolean;
  /** Windows that need no report any more; they leave the record with the next write. */
  done: Set<number>;
}

/** Windows that are to be fixed, and how many are lost. */
interface DueWindows {
  last: number;
  fixed: UsageReport[];
  lostCount: number;
}

/** Creates a reporter that knows nothing of the store. */
export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
  const { windowMs, lateMs, book, store, calls, timers, logger, getHolder, countWindows } = options;
  const settleMs = Math.min(SETTLE_MS, lateMs * SETTLE_SHARE);
  /** Windows that this process has fixed, as the store has acknowledged. */
  const ownFixed = new Map<number, UsageReport['counts']>();
  let held: HeldRecord | undefined;
  let isBusy = false;

  /** Returns the last window that may be fixed at a wall time. */
  const getLastDue = (wallMs: number): number => book.getWindow(wallMs - settleMs) - 1;

  const recordLost = (lostCount: number, reason: string): void => {
    if (lostCount <= 0) return;
    logger.warn('usage windows are lost', { count: lostCount, reason });
    countWindows(WindowResult.Lost, lostCount);
  };

  const readRecord = async (holder: DutyHolder): Promise<HeldRecord | undefined> => {
    const result = await store.fetchObject(StoreKind.Duties, OBJECT_NAME);
    if (result.kind !== 'ok' && result.kind !== StoreFailure.NotFound) return undefined;
    const object = result.kind === 'ok' ? result.value : undefined;
    const stored = parseUsageRecord(object?.spec);
    const era = result.era ?? 0;
    const base = { token: holder.token, revision: object?.revision, done: new Set<number>() };
    if (stored?.era === era) return { ...base, record: stored, isChanged: false };
    const lastFixable = getLastDue(timers.getWallMs() + CLOCK_SLACK_MS);
    const record = buildRestoredRecord(stored, era, lastFixable, ownFixed);
    if (stored !== undefined) {
      const known = record.windows.filter(({ window }) => window > stored.lastWindow).length;
      const lostCount = record.lastWindow - stored.lastWindow - known;
      recordLost(lostCount, 'the store came back from an older copy');
    }
    return { ...base, record, isChanged: true };
  };

  const listDueWindows = ({ lastWindow }: UsageRecord): DueWindows => {
    const last = Math.max(lastWindow, getLastDue(timers.getWallMs()));
    const first = Math.max(lastWindow + 1, last - RETAINED_WINDOWS + 1);
    const fixed: UsageReport[] = [];
    for (let window = first; window <= last; window++) {
      const counts = book.sumCounts(window);
      if (counts !== undefined) fixed.push({ window, counts });
    }
    return { last, fixed, lostCount: last - lastWindow - fixed.length };
  };

  const recordFixed = (fixed: readonly UsageReport[]): void => {
    for (const { window, counts } of fixed) ownFixed.set(window, counts);
    for (const window of [...ownFixed.keys()].slice(0, -RETAINED_WINDOWS)) ownFixed.delete(window);
  };

  /** Fixes the windows that are due; they are reported in the next step. */
  const fixWindows = async (current: HeldRecord): Promise<void> => {
    const { record, revision, done, isChanged } = current;
    const { last, fixed, lostCount } = listDueWindows(record);
    if (last === record.lastWindow && !isChanged) return;
    const waiting = [...record.windows.filter(({ window }) => !done.has(window)), ...fixed];
    const windows = waiting.slice(-RETAINED_WINDOWS);
    const next = { era: record.era, lastWindow: last, windows };
    const spec = encodeUsageRecord(next);
    const result =
      revision === undefined
        ? await store.createObject(StoreKind.Duties, OBJECT_NAME, spec)
        : await store.replaceObject(StoreKind.Duties, OBJECT_NAME, revision, spec);
    const isWritten = result.kind === 'ok' && (result.era ?? 0) === next.era;
    if (!isWritten) {
      // What the store holds now is read before anything else is done.
      if (result.kind !== StoreFailure.NotDone) held = undefined;
      return;
    }
    recordFixed(fixed);
    recordLost(lostCount, 'no counts are known');
    recordLost(waiting.length - windows.length, 'the platform took no report for too long');
    held = {
      ...current,
      record: next,
      revision: result.value.revision,
      isChanged: false,
      done: new Set([...done].filter((window) => windows.some((one) => one.window === window))),
    };
  };

  const recordResult = ({ window, counts }: UsageReport, result: DutyCallResult): void => {
    const sinceEndMs = Math.round(timers.getWallMs() - (window + 1) * windowMs);
    const requests = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const details = { window, requests, customers: counts.size, sinceEndMs };
    if (result === DutyCallResult.Rejected) {
      logger.error('the platform rejected the usage of a window', details);
      countWindows(WindowResult.Rejected, 1);
      return;
    }
    logger.info('reported the usage of a window', details);
    countWindows(sinceEndMs > lateMs ? WindowResult.Late : WindowResult.Reported, 1);
  };

  /** Reports the fixed windows, oldest first, up to the first that the platform does not take. */
  const sendWindows = async (holder: DutyHolder, { record, done }: HeldRecord): Promise<void> => {
    for (const report of record.windows) {
      if (done.has(report.window)) continue;
      const result = await calls.reportUsage(holder, report);
      const isDone = result === DutyCallResult.Accepted || result === DutyCallResult.Rejected;
      if (!isDone) return;
      done.add(report.window);
      recordResult(report, result);
    }
  };

  const runStep = async (): Promise<void> => {
    const holder = getHolder();
    if (holder === undefined || held?.token !== holder.token) held = undefined;
    if (holder === undefined) return;
    held ??= await readRecord(holder);
    if (held === undefined) return;
    if (!held.isChanged) await sendWindows(holder, held);
    await fixWindows(held);
  };

  return {
    async step() {
      if (isBusy) return;
      isBusy = true;
      try {
        await runStep();
      } finally {
        isBusy = false;
      }
    },
  };
}
