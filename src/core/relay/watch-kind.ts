import { ALLOCATION_KIND } from '../allocation/index.ts';
import type { DocumentStore } from '../documents/index.ts';
import { allocationSchema, buildDocument, isLeaseRenewal } from '../documents/index.ts';
import { formatProblem } from '../errors/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { PlatformChange, PlatformClient, WatchResult } from '../object-api/index.ts';
import type { TimerService } from '../timers/index.ts';
import { computeBackoffMs } from './backoff.ts';
import {
  SHORTEST_BACKOFF_MS,
  WATCH_GRACE_MS,
  WATCH_SPACING_MS,
  WATCH_TIMEOUT_MS,
} from './consts.ts';

/** Dependencies of the watch of one object kind. */
export interface KindWatchOptions {
  kind: string;
  platform: Pick<PlatformClient, 'watchKind'>;
  store: DocumentStore;
  timers: TimerService;
  /** Returns a number in the range [0, 1). */
  random: () => number;
  recorder?: Pick<EventRecorder, 'record'> | undefined;
}

const PART = 'relay';

/** Tells whether a change only renews the lease of an allocation that the store holds. */
function isHeldLeaseRenewal(store: DocumentStore, change: PlatformChange): boolean {
  if (change.kind !== ALLOCATION_KIND || change.deleted) return false;
  const held = store.listAllocations().find(({ value }) => value.fabricDomain === change.name);
  const next = allocationSchema.safeParse(change.value);
  return held !== undefined && next.success && isLeaseRenewal(held.value, next.data);
}

/** Makes one watch call; aborts it if it does not end within its timeout and a grace period. */
async function watchOnce(
  options: KindWatchOptions,
  sinceVersion: number,
  signal: AbortSignal,
): Promise<WatchResult> {
  const { kind, platform, timers } = options;
  const call = new AbortController();
  const abortCall = (): void => call.abort();
  signal.addEventListener('abort', abortCall);
  const cancelDeadline = timers.scheduleOnce(WATCH_TIMEOUT_MS + WATCH_GRACE_MS, abortCall);
  const aborted = new Promise<never>((_resolve, reject) => {
    call.signal.addEventListener('abort', () => reject(new Error('the watch timed out')));
  });
  try {
    const watch = platform.watchKind(kind, sinceVersion, WATCH_TIMEOUT_MS, call.signal);
    return await Promise.race([watch, aborted]);
  } finally {
    cancelDeadline();
    signal.removeEventListener('abort', abortCall);
  }
}

/**
 * Watches an object kind and adds its changes to the store until the signal aborts. The first watch
 * starts at version 0, because the copies from peers may lack an object whose version is below the
 * highest one.
 */
export async function watchKind(options: KindWatchOptions, signal: AbortSignal): Promise<void> {
  const { kind, random, recorder, store, timers } = options;
  let sinceVersion = 0;
  let failures = 0;
  while (!signal.aborted) {
    const startMs = timers.getMonotonicMs();
    try {
      const result = await watchOnce(options, sinceVersion, signal);
      if (failures > 0) recorder?.record(PART, 'platform answers', { kind });
      failures = 0;
      result.objects
        .filter((change) => !isHeldLeaseRenewal(store, change))
        .forEach((change) => store.applyDocument(buildDocument(change)));
      sinceVersion = Math.max(sinceVersion, result.version);
      const elapsedMs = timers.getMonotonicMs() - startMs;
      if (elapsedMs < WATCH_SPACING_MS) await timers.waitFor(WATCH_SPACING_MS - elapsedMs, signal);
    } catch (error) {
      if (signal.aborted) return;
      failures += 1;
      // Record one event per outage; further failed attempts add no information.
      if (failures === 1) {
        recorder?.record(PART, 'platform fails', { kind, problem: formatProblem(error) });
      }
      // The time until the failure counts towards the backoff, so that calls that are aborted after
      // 12 s without a response do not further delay the first call after an outage.
      const elapsedMs = timers.getMonotonicMs() - startMs;
      const waitMs = computeBackoffMs(failures, random) - elapsedMs;
      await timers.waitFor(Math.max(SHORTEST_BACKOFF_MS, waitMs), signal);
    }
  }
}
