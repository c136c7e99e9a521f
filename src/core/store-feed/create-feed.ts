import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type { StoreClient, ObjectChange, StoreKind } from '../store/index.ts';
import { StoreFailure } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import { createChangeLog } from './change-log.ts';
import type { Feed, FeedListener, FeedProgress } from './types.ts';

/** Options of a feed. */
export interface FeedOptions {
  kind: StoreKind;
  store: Pick<StoreClient, 'listObjects' | 'watchObjects'>;
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  logger: Logger;
  errorReporter: ErrorReporter;
  listener: FeedListener;
  /** Maximum long-poll wait of one watch call. */
  waitMs: number;
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
 * configuration is still known within its limit of 2 s.
 */
const RECOVERY_WATCH_MS = 50;
/**
 * A follower whose copy was not confirmed by others for this long beyond one watch calls the store
 * itself: with the watch of 1 s on targets, a leaving target is then known within 2 s.
 */
const FOLLOW_MARGIN_MS = 600;
/** Period at which a follower checks whether others still confirm its copy. */
const FOLLOW_POLL_MS = 100;

/** Starts a feed: it lists a kind, then watches it, and lists again if the history is gone. */
export function startFeed(options: FeedOptions): Feed {
  const { kind, store, timers, logger, errorReporter, listener } = options;
  const { waitMs, getPauseMs, isWatcher } = options;
  const abortController = new AbortController();
  const changeLog = createChangeLog(timers);
  let confirmedMs: number | undefined;
  let revision: number | undefined;
  let failures = 0;
  /** Whether others have read changes that this process has missed. */
  let hasGap = false;

  /** An object that the listener cannot process must not keep it from the later ones. */
  const callListener = (call: () => void): void => {
    try {
      call();
    } catch (error) {
      errorReporter.report(ErrorOrigin.Feed, error);
    }
  };

  const confirmCopy = (atMs: number): void => {
    const outageMs = atMs - (confirmedMs ?? atMs);
    if (failures > 0) {
      logger.info('the store answers again', { kind, failures, awayMs: Math.round(outageMs) });
    }
    if (outageMs > waitMs + OUTAGE_THRESHOLD_MS) listener.handleOutageEnd?.();
    failures = 0;
    confirmedMs = Math.max(atMs, confirmedMs ?? atMs);
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
    if (failures === 0) logger.warn('the store does not answer', { kind, problem });
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures);
    failures++;
    await timers.waitFor(delayMs, abortController.signal);
  };

  const readList = async (): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.listObjects(kind);
    if (abortController.signal.aborted) return;
    if (result.kind !== 'ok') {
      await waitAfterFailure(result.problem);
      return;
    }
    confirmCopy(sentMs);
    ({ revision } = result.value);
    changeLog.reset(revision);
    callListener(() => listener.handleList(result.value.objects));
  };

  const readChanges = async (since: number): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    hasGap = false;
    const callWaitMs = failures > 0 ? RECOVERY_WATCH_MS : waitMs;
    const result = await store.watchObjects(kind, since, callWaitMs);
    if (abortController.signal.aborted) return;
    if (result.kind === StoreFailure.HistoryGone) {
      logger.info('the history is gone; the kind is listed again', { kind, since });
      revision = undefined;
      return;
    }
    if (result.kind !== 'ok') {
      await waitAfterFailure(result.problem);
      return;
    }
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

  const isFollowing = (): boolean =>
    !isWatcher() &&
    !hasGap &&
    confirmedMs !== undefined &&
    timers.getMonotonicMs() - confirmedMs < waitMs + FOLLOW_MARGIN_MS;

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

  void run();

  return {
    getConfirmedMs: () => confirmedMs,
    getProgress(recentMs) {
      if (revision === undefined || confirmedMs === undefined) return undefined;
      const ageMs = timers.getMonotonicMs() - confirmedMs;
      const changedRevision = changeLog.getChangedRevision();
      return { kind, revision, changedRevision, ageMs, ...changeLog.listRecent(recentMs) };
    },
    applyProgress(progress: FeedProgress) {
      if (revision === undefined || progress.revision < revision) return;
      const knownRevision = revision;
      if (progress.changedRevision > knownRevision) {
        if (progress.sinceRevision > knownRevision) {
          hasGap = true;
          return;
        }
        confirmCopy(timers.getMonotonicMs() - progress.ageMs);
        const changes = progress.changes.filter(({ readRevision }) => readRevision > knownRevision);
        applyEvents(changes, progress.changedRevision);
      } else confirmCopy(timers.getMonotonicMs() - progress.ageMs);
      ({ revision } = progress);
    },
    stop: () => abortController.abort(),
  };
}
