import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type {
  EraTracker,
  ObjectChange,
  StoreClient,
  StoreKind,
  StoreList,
} from '../store/index.ts';
import { Consistency, StoreFailure } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createChangeLog } from './change-log.ts';
import type { FeedTiming } from './timing.ts';
import type { Feed, FeedListener, FeedProgress } from './types.ts';

/** Options of a feed. */
export interface FeedOptions {
  kind: StoreKind;
  store: Pick<StoreClient, 'listObjects' | 'watchObjects'>;
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  logger: Logger;
  errorReporter: ErrorReporter;
  listener: FeedListener;
  timing: FeedTiming;
  /** Has observed the era of an answer before the feed gets it. */
  eras: Pick<EraTracker, 'getEra' | 'subscribe'>;
  /**
   * Whether the kind is listed from a replica that may lag, which costs the store less. The list is
   * used only after a watch has brought it up to date.
   */
  isListedStale: boolean;
  /** Returns the pause after a watch with events; changes in quick succession then share a call. */
  getPauseMs(): number;
  /** Whether this process watches the store itself instead of relying on other processes. */
  isWatcher(): boolean;
}

/**
 * Time without a confirmation, beyond one watch, that counts as an outage of the store, in which
 * entries that targets renew may have expired.
 */
const OUTAGE_THRESHOLD_MS = 1_000;
/** First delay after a failed call; doubled with each failure up to the maximum. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 400;
/**
 * Long-poll wait of watches after a failed call, until one succeeds. A call that was sent just before
 * the store recovered may get no response; with a short wait it times out soon, so that a changed
 * configuration is still known within its limit. Also the wait of the watch that brings a stale list
 * up to date.
 */
const SHORT_WATCH_MS = 50;
/** A watch that returns this many events may have left out later ones. */
const FULL_PAGE_EVENTS = 400;
/**
 * Watches that bring a stale list up to date at most; a list is a few seconds old, in which all
 * entries of the largest site change a few times.
 */
const MAX_CATCH_UP_WATCHES = 20;
/**
 * How long a follower waits for missing changes in the packets of another process before it calls
 * the store; a little longer than the longest packet period.
 */
const GAP_GRACE_MS = 300;
/** Reported for an answer that was under way when the store came back. */
const OUTDATED_PROBLEM = 'the answer is from before the restoration of the store';
/** Period at which a follower checks whether others still confirm its copy. */
const FOLLOW_POLL_MS = 100;

/** Starts a feed: it lists a kind, then watches it, and lists again if the history is gone. */
export function startFeed(options: FeedOptions): Feed {
  const { kind, store, timers, logger, errorReporter, listener } = options;
  const { isListedStale, getPauseMs, isWatcher, eras } = options;
  const { waitMs, followLimitMs } = options.timing;
  const abortController = new AbortController();
  const changeLog = createChangeLog(timers);
  let confirmedMs: number | undefined;
  let revision: number | undefined;
  /** Era in which the copy was listed; undefined before the first listing. */
  let copyEra: number | undefined;
  /** Whether another process has told of an era that this one has not seen. */
  let hasLaterEraElsewhere = false;
  let failures = 0;
  let firstFailureMs = 0;
  /** Revision of changes that others have read and this process has missed, and since when. */
  let gap: { revision: number; sinceMs: number } | undefined;

  /** Whether an answer is from before the last restoration of the store that was seen. */
  const isOutdated = (era: number | undefined): boolean => era !== undefined && era < eras.getEra();

  /** An object that the listener cannot process must not keep it from the later ones. */
  const callListener = (call: () => void): void => {
    try {
      call();
    } catch (error) {
      errorReporter.report(ErrorOrigin.Feed, error);
    }
  };

  /** Records that the copy matched the store at a time, as this or another process has read. */
  const confirmCopy = (atMs: number): void => {
    const outageMs = atMs - (confirmedMs ?? atMs);
    if (outageMs > waitMs + OUTAGE_THRESHOLD_MS) listener.handleOutageEnd?.();
    confirmedMs = Math.max(atMs, confirmedMs ?? atMs);
  };

  /** Records that the store has answered a call of this process. */
  const recordAnswer = (): void => {
    if (failures === 0) return;
    const awayMs = Math.round(timers.getMonotonicMs() - firstFailureMs);
    logger.info('the store answers again', { kind, failures, awayMs });
    failures = 0;
  };

  const applyEvents = (events: readonly ObjectChange[], readRevision: number): void => {
    changeLog.addChanges(events, readRevision);
    for (const { object, isDeleted } of events) {
      callListener(() =>
        isDeleted ? listener.handleDelete(object) : listener.handleObject(object),
      );
    }
  };

  const waitAfterFailure = async (problem: string): Promise<void> => {
    if (failures === 0) {
      firstFailureMs = timers.getMonotonicMs();
      logger.warn('the store does not answer', { kind, problem });
    }
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures);
    failures++;
    await timers.waitFor(delayMs, abortController.signal);
  };

  const applyList = (list: StoreList, confirmedAtMs: number): void => {
    recordAnswer();
    confirmCopy(confirmedAtMs);
    const era = eras.getEra();
    if (copyEra !== undefined && copyEra !== era) listener.handleRestoration?.();
    copyEra = era;
    ({ revision } = list);
    changeLog.reset(list.revision);
    callListener(() => listener.handleList(list.objects));
  };

  const readCurrentList = async (): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.listObjects(kind, Consistency.Current);
    if (abortController.signal.aborted) return;
    if (isOutdated(result.era)) await waitAfterFailure(OUTDATED_PROBLEM);
    else if (result.kind === 'ok') applyList(result.value, sentMs);
    else await waitAfterFailure(result.problem);
  };

  /** Lists the kind as it was some seconds ago, then applies the changes since; false if it failed. */
  const readStaleList = async (): Promise<boolean> => {
    const stale = await store.listObjects(kind, Consistency.Stale);
    if (stale.kind !== 'ok' || isOutdated(stale.era)) return false;
    const objects = new Map(stale.value.objects.map((object) => [object.name, object]));
    let since = stale.value.revision;
    for (let watches = 0; watches < MAX_CATCH_UP_WATCHES; watches++) {
      const sentMs = timers.getMonotonicMs();
      const result = await store.watchObjects(kind, since, SHORT_WATCH_MS);
      if (abortController.signal.aborted) return true;
      if (result.kind !== 'ok' || result.era !== stale.era) return false;
      for (const { object, isDeleted } of result.value.events) {
        if (isDeleted) objects.delete(object.name);
        else objects.set(object.name, object);
      }
      since = result.value.revision;
      if (result.value.events.length < FULL_PAGE_EVENTS) {
        applyList({ objects: [...objects.values()], revision: since }, sentMs);
        return true;
      }
    }
    logger.warn('a stale list does not come up to date; the kind is listed as it is now', {
      kind,
      watches: MAX_CATCH_UP_WATCHES,
    });
    return false;
  };

  const readList = async (): Promise<void> => {
    if (isListedStale && (await readStaleList())) return;
    await readCurrentList();
  };

  const readChanges = async (since: number): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    gap = undefined;
    const isShort = failures > 0 || hasLaterEraElsewhere;
    hasLaterEraElsewhere = false;
    const callWaitMs = isShort ? SHORT_WATCH_MS : waitMs;
    const result = await store.watchObjects(kind, since, callWaitMs);
    // After a restoration, the revisions of the copy and of the answer mean different things.
    if (abortController.signal.aborted || revision === undefined) return;
    if (isOutdated(result.era)) {
      await waitAfterFailure(OUTDATED_PROBLEM);
      return;
    }
    if (result.kind === StoreFailure.HistoryGone) {
      logger.info('the history is gone; the kind is listed again', { kind, since });
      revision = undefined;
      return;
    }
    if (result.kind !== 'ok') {
      await waitAfterFailure(result.problem);
      return;
    }
    recordAnswer();
    const { events, revision: readRevision } = result.value;
    // Without events the store responds at the end of the wait; with events, the time is unknown.
    const hasWaited = events.length === 0 && timers.getMonotonicMs() - sentMs >= callWaitMs;
    confirmCopy(hasWaited ? sentMs + callWaitMs : sentMs);
    // Progress of another process may have advanced the copy while this call waited.
    if (revision === undefined || readRevision >= revision) {
      revision = readRevision;
      applyEvents(events, readRevision);
    }
    if (events.length > 0) await timers.waitFor(getPauseMs(), abortController.signal);
  };

  /** Whether changes are missing that no other process has sent meanwhile. */
  const hasLastingGap = (): boolean =>
    gap !== undefined &&
    gap.revision > (revision ?? 0) &&
    timers.getMonotonicMs() - gap.sinceMs > GAP_GRACE_MS;

  const isFollowing = (): boolean =>
    !isWatcher() &&
    !hasLastingGap() &&
    !hasLaterEraElsewhere &&
    confirmedMs !== undefined &&
    timers.getMonotonicMs() - confirmedMs < followLimitMs;

  const step = async (): Promise<void> => {
    if (revision === undefined) await readList();
    else if (isFollowing()) await timers.waitFor(FOLLOW_POLL_MS, abortController.signal);
    else await readChanges(revision);
  };

  const run = async (): Promise<void> => {
    while (!abortController.signal.aborted) {
      try {
        await step();
      } catch (error) {
        errorReporter.report(ErrorOrigin.Feed, error);
        // The copy may be incomplete, so it is listed again.
        revision = undefined;
        await timers.waitFor(RETRY_MAX_MS, abortController.signal);
      }
    }
  };

  // What this copy stands for may be lost; a list tells what the store has now.
  eras.subscribe(() => {
    revision = undefined;
    gap = undefined;
  });

  void run();

  return {
    getConfirmedMs: () => confirmedMs,
    getProgress(recentMs) {
      if (revision === undefined || confirmedMs === undefined) return undefined;
      const ageMs = timers.getMonotonicMs() - confirmedMs;
      const changedRevision = changeLog.getChangedRevision();
      return {
        kind,
        era: copyEra ?? 0,
        revision,
        changedRevision,
        ageMs,
        ...changeLog.listRecent(recentMs),
      };
    },
    applyProgress(progress: FeedProgress, delayMs = 0) {
      if (revision === undefined) return;
      // Only an answer of the store itself proves a later era.
      hasLaterEraElsewhere ||= progress.era > eras.getEra();
      if (progress.era !== copyEra || progress.revision < revision) return;
      const knownRevision = revision;
      const confirmedAtMs = timers.getMonotonicMs() - progress.ageMs - delayMs;
      if (progress.changedRevision > knownRevision) {
        if (progress.sinceRevision > knownRevision) {
          const isNew = gap === undefined || gap.revision <= knownRevision;
          if (isNew) gap = { revision: progress.sinceRevision, sinceMs: timers.getMonotonicMs() };
          return;
        }
        confirmCopy(confirmedAtMs);
        const changes = progress.changes.filter(({ readRevision }) => readRevision > knownRevision);
        applyEvents(changes, progress.changedRevision);
      } else confirmCopy(confirmedAtMs);
      ({ revision } = progress);
    },
    stop: () => abortController.abort(),
  };
}
