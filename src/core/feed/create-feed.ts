import type { Logger } from '../logs/index.ts';
import type { StoreClient, StoreKind } from '../store/index.ts';
import { StoreFailure } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { Feed, FeedListener } from './types.ts';

/** What a feed needs. */
export interface FeedOptions {
  kind: StoreKind;
  store: Pick<StoreClient, 'listObjects' | 'watchObjects'>;
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>;
  logger: Logger;
  listener: FeedListener;
  /** Longest wait of one watch. */
  waitMs: number;
  /** Pause after a watch with events, so that changes in quick succession share one call. */
  getPauseMs(): number;
}

/** Time beyond a watch without an answer after which entries may have lapsed meanwhile. */
const OUTAGE_MS = 1_000;
/** First wait after a failed call; doubled up to the largest. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 400;
/**
 * Wait of a watch after a failure. A call that the store swallowed just before its return ends soon,
 * so that a change is known within the 2 s that a configuration may take.
 */
const RETRY_WAIT_MS = 50;

/** Starts a feed: it lists the kind, then watches it, and lists again when history is gone. */
export function startFeed(options: FeedOptions): Feed {
  const { kind, store, timers, logger, listener, waitMs, getPauseMs } = options;
  const aborter = new AbortController();
  let confirmedMs: number | undefined;
  let revision: number | undefined;
  let failures = 0;

  const confirm = (sentMs: number): void => {
    if (failures > 0) {
      const awayMs = Math.round(timers.getMonotonicMs() - (confirmedMs ?? 0));
      logger.info('the store answers again', { kind, failures, awayMs });
      if (awayMs > waitMs + OUTAGE_MS) listener.handleOutageEnd?.();
    }
    failures = 0;
    confirmedMs = sentMs;
  };

  const waitAfterFailure = async (problem: string): Promise<void> => {
    if (failures === 0) logger.warn('the store does not answer', { kind, problem });
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures);
    failures++;
    await timers.waitFor(delayMs, aborter.signal);
  };

  const readList = async (): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.listObjects(kind);
    if (aborter.signal.aborted) return;
    if (result.kind !== 'ok') {
      await waitAfterFailure(result.problem);
      return;
    }
    confirm(sentMs);
    ({ revision } = result.value);
    listener.handleList(result.value.objects);
  };

  const readChanges = async (since: number): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.watchObjects(kind, since, failures > 0 ? RETRY_WAIT_MS : waitMs);
    if (aborter.signal.aborted) return;
    if (result.kind === StoreFailure.HistoryGone) {
      logger.info('the history is gone; the kind is listed again', { kind, since });
      revision = undefined;
      return;
    }
    if (result.kind !== 'ok') {
      await waitAfterFailure(result.problem);
      return;
    }
    confirm(sentMs);
    revision = result.value.revision;
    for (const { object, isDeleted } of result.value.events) {
      if (isDeleted) listener.handleDelete(object);
      else listener.handleObject(object);
    }
    if (result.value.events.length > 0) await timers.waitFor(getPauseMs(), aborter.signal);
  };

  const run = async (): Promise<void> => {
    while (!aborter.signal.aborted) {
      if (revision === undefined) await readList();
      else await readChanges(revision);
    }
  };

  void run().catch((error: unknown) =>
    logger.error('a feed ended', { kind, problem: String(error) }),
  );

  return {
    getConfirmedMs: () => confirmedMs,
    stop: () => aborter.abort(),
  };
}
