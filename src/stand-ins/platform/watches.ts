import type { WatchResult } from '../../core/object-api/index.ts';
import type { TimerService } from '../../core/timers/index.ts';
import type { ObjectStore, PlatformCounters } from './types.ts';

/**
 * Returns the changes of a kind after `sinceVersion`. If there are none, it first waits for one.
 * The list is empty if the timeout ends or the signal aborts before a change.
 */
export async function waitForChanges(
  store: ObjectStore,
  timers: Pick<TimerService, 'waitFor'>,
  counters: PlatformCounters,
  watch: { kind: string; sinceVersion: number; timeoutMs: number; signal: AbortSignal },
): Promise<WatchResult> {
  const { kind, sinceVersion, timeoutMs } = watch;
  if (store.listChanges(kind, sinceVersion).length === 0) {
    const change = new AbortController();
    const unsubscribe = store.subscribe((changed) => {
      if (changed.kind === kind) change.abort();
    });
    counters.waitingWatches += 1;
    await timers.waitFor(timeoutMs, AbortSignal.any([change.signal, watch.signal]));
    counters.waitingWatches -= 1;
    unsubscribe();
  }
  return { version: store.getVersion(), objects: store.listChanges(kind, sinceVersion) };
}
