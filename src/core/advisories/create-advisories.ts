import type { Fleet, Target } from '../fleet/index.ts';
import { computeTargetHash, formatTargetKey, parseTargetId } from '../fleet/index.ts';
import type { Position } from '../placement/index.ts';
import type { TimerService } from '../timers/index.ts';
import {
  MAX_NOTICES,
  MIN_REQUESTS_PER_SECOND,
  SEND_WINDOW_MS,
  SWEEP_PERIOD_MS,
  TURN_LIFETIME_MS,
} from './consts.ts';
import { findNextTurnMs } from './find-turn.ts';
import { createLimitBook } from './limit-book.ts';
import { createPauses } from './pauses.ts';
import { createSendCounter } from './send-counter.ts';
import type { AdvisoryNotices, LimitNotice, LimitReport, TargetAdvice } from './types.ts';

/** Dependencies of the advisories. */
export interface AdvisoriesOptions {
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>;
  fleet: Pick<Fleet, 'listAllTargets' | 'markLeaving' | 'listMarkedLeaving'>;
  /** Returns the time that all gateways agree on. */
  getFleetMs(): number;
  /** Returns the position of this gateway among all; they share the limits of targets. */
  getPosition(): Position;
  /** Called when a limit is stated first or ends, and at intervals while it holds. */
  handleLimit(report: LimitReport): void;
  /** Called when a target wants no requests from this gateway for a time. */
  handlePause(targetId: string, pauseMs: number): void;
  /** Called when a target says first, to this gateway or to another, that it is shutting down. */
  handleLeaving(targetId: string): void;
  /** Sends the notices to the other gateways without waiting for the next packet. */
  sendNow(): void;
}

/** What targets have said of themselves in their responses, to this gateway or to another. */
export interface Advisories {
  recordSend(targetId: string, isRetry: boolean): void;
  /** Records the advice of a response to a request that was sent at a monotonic time. */
  recordAdvice(target: Target, advice: TargetAdvice, sentMs: number): void;
  /** Returns the requests per second that a target takes; undefined without a limit. */
  findLimit(target: Target): number | undefined;
  /** Returns how long a target still wants no requests from this gateway, in ms; 0 if it takes some. */
  getPauseMs(target: Target): number;
  /** Whether this gateway may send a target a request now, as far as the target has limited them. */
  hasTurn(target: Target): boolean;
  /** Takes a turn for one request to a target; false if a limited target has none left. */
  takeTurn(target: Target): boolean;
  /** Takes what the next packet tells the other gateways. */
  takeNotices(): AdvisoryNotices;
  /** Adds what another gateway tells; returns whether a limit or a leaving target is news. */
  receiveNotices(notices: AdvisoryNotices): boolean;
  /** Counts the targets that have a limit. */
  countLimits(): number;
  stop(): void;
}

/** Creates advisories without any statement. */
export function createAdvisories(options: AdvisoriesOptions): Advisories {
  const { timers, fleet, getFleetMs, handleLimit } = options;
  const counter = createSendCounter(timers);
  const book = createLimitBook(getFleetMs);
  const pauses = createPauses(timers);
  /** Monotonic time of the last report of each limit. */
  const reportedMs = new Map<string, number>();
  let keptKeys = new Set<string>();
  /** Start of the leaving targets in the next packet. */
  let leavingCursor = 0;

  /** Forgets targets that had no entry in two sweeps; an entry may lapse while the store is away. */
  const removeGoneTargets = (): void => {
    const present = new Set([...fleet.listAllTargets()].map(formatTargetKey));
    book.removeOthers((key) => present.has(key) || keptKeys.has(key));
    [...reportedMs.keys()]
      .filter((key) => !present.has(key))
      .forEach((key) => reportedMs.delete(key));
    keptKeys = present;
  };
  const stopSweep = timers.subscribe(SWEEP_PERIOD_MS, removeGoneTargets);

  /** Reports a limit now, or if its last report is a window ago. */
  const reportLimit = (targetKey: string, isDueNow: boolean): void => {
    const now = timers.getMonotonicMs();
    if (!isDueNow && now - (reportedMs.get(targetKey) ?? -Infinity) < SEND_WINDOW_MS) return;
    const requestsPerSecond = book.findEntry(targetKey)?.requestsPerSecond;
    if (requestsPerSecond === undefined) reportedMs.delete(targetKey);
    else reportedMs.set(targetKey, now);
    const targetId = parseTargetId(targetKey);
    handleLimit({ targetId, requestsPerSecond, ...counter.countRecent(targetId) });
  };

  const isLimited = (targetKey: string): boolean =>
    book.findEntry(targetKey)?.requestsPerSecond !== undefined;

  /** Adds a statement; returns whether a limit is new or over, and not only another one. */
  const addLimitNotice = (notice: LimitNotice): boolean => {
    const wasLimited = isLimited(notice.targetKey);
    book.addNotice(notice);
    const isNews = wasLimited !== isLimited(notice.targetKey);
    if (isNews) reportLimit(notice.targetKey, true);
    return isNews;
  };

  /** Records that a target is shutting down; returns whether that is news. */
  const addLeaving = (targetKey: string): boolean => {
    const isNews = fleet.markLeaving(targetKey);
    if (isNews) options.handleLeaving(parseTargetId(targetKey));
    return isNews;
  };

  /** Records what a response says of its target's limit; returns whether that is news. */
  const recordLimit = (target: Target, advice: TargetAdvice, sentMs: number): boolean => {
    const { requestsPerSecond, isLimitUnreadable } = advice;
    if (isLimitUnreadable) return false;
    const now = getFleetMs();
    // A response without a limit may have been overtaken by a later one with a limit, so that it
    // ends only the limits that were known when its request was sent.
    const statedMs =
      requestsPerSecond === undefined ? now - (timers.getMonotonicMs() - sentMs) : now;
    const targetKey = formatTargetKey(target);
    if (addLimitNotice({ targetKey, requestsPerSecond, statedMs })) return true;
    if (requestsPerSecond !== undefined) reportLimit(targetKey, false);
    return false;
  };

  /** Finds the turn that this gateway may use for a request now, as a fleet time. */
  const findTurnMs = (targetKey: string, targetId: string): number | undefined => {
    const entry = book.findEntry(targetKey);
    if (entry?.requestsPerSecond === undefined) return undefined;
    return findNextTurnMs({
      afterMs: Math.max(entry.lastTurnMs, getFleetMs() - TURN_LIFETIME_MS),
      perSecond: Math.max(MIN_REQUESTS_PER_SECOND, entry.requestsPerSecond),
      position: options.getPosition(),
      shift: computeTargetHash(targetId),
    });
  };

  const getPauseMs = (target: Target): number => pauses.getRemainingMs(formatTargetKey(target));

  const hasTurn = (target: Target): boolean => {
    if (getPauseMs(target) > 0) return false;
    const turnMs = findTurnMs(formatTargetKey(target), target.id);
    return turnMs === undefined || turnMs <= getFleetMs();
  };

  /** Takes the targets that say that they leave; each call moves on to other ones. */
  const takeLeavingKeys = (): string[] => {
    const keys = fleet.listMarkedLeaving();
    const count = Math.min(keys.length, MAX_NOTICES);
    leavingCursor += count;
    return Array.from(
      { length: count },
      (_, index) => keys[(leavingCursor + index) % keys.length]!,
    );
  };

  return {
    recordSend: counter.recordSend,
    recordAdvice(target, advice, sentMs) {
      const isLimitNews = recordLimit(target, advice, sentMs);
      const isLeavingNews = advice.isLeaving && addLeaving(formatTargetKey(target));
      const { pauseMs } = advice;
      if (pauseMs !== undefined && pauses.add(formatTargetKey(target), pauseMs)) {
        options.handlePause(target.id, pauseMs);
      }
      if (isLimitNews || isLeavingNews) options.sendNow();
    },
    findLimit: (target) => book.findEntry(formatTargetKey(target))?.requestsPerSecond,
    getPauseMs,
    hasTurn,
    takeTurn(target) {
      if (!hasTurn(target)) return false;
      const targetKey = formatTargetKey(target);
      const entry = book.findEntry(targetKey);
      const turnMs = findTurnMs(targetKey, target.id);
      if (entry !== undefined && turnMs !== undefined) entry.lastTurnMs = turnMs;
      return true;
    },
    takeNotices: () => ({ limits: book.takeNotices(), leavingKeys: takeLeavingKeys() }),
    receiveNotices({ limits, leavingKeys }) {
      const newLimits = limits.filter(addLimitNotice);
      const newLeavingKeys = leavingKeys.filter(addLeaving);
      return newLimits.length + newLeavingKeys.length > 0;
    },
    countLimits: book.countLimits,
    stop() {
      stopSweep();
      counter.stop();
    },
  };
}
