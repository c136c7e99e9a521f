import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import { createRestorableStore } from '../store/fixtures/restorable-store.ts';
import { createEraTracker, createInstrumentedStore, StoreKind } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import type { FeedProgress } from './index.ts';
import { computeFeedTiming, startFeed } from './index.ts';

const BOUND_MS = 2_000;
const STEP_MS = 5;

/** Starts the feeds of several gateways on one store. */
function startFeeds(areWatchers: readonly boolean[], pauseMs = 0) {
  const timers = createManualTimers();
  const store = createRestorableStore(timers);
  const logger = createLogger('test');
  const gateways = areWatchers.map((isWatcher) => {
    const names = new Set<string>();
    let restorations = 0;
    const eras = createEraTracker(logger);
    const feed = startFeed({
      kind: StoreKind.Configuration,
      store: createInstrumentedStore(store.client, () => undefined, eras.observe),
      timers,
      logger,
      errorReporter: createErrorReporter(() => undefined),
      eras,
      timing: computeFeedTiming(BOUND_MS),
      isListedStale: false,
      getPauseMs: () => pauseMs,
      isWatcher: () => isWatcher,
      listener: {
        handleList(objects) {
          names.clear();
          objects.forEach(({ name }) => names.add(name));
        },
        handleObject: ({ name }) => names.add(name),
        handleDelete: ({ name }) => names.delete(name),
        handleRestoration: () => {
          restorations++;
        },
      },
    });
    return { feed, listNames: () => [...names].sort(), countRestorations: () => restorations };
  });
  const run = (ms: number): Promise<void> => timers.runForAsync(ms, STEP_MS);
  const stop = (): void => gateways.forEach(({ feed }) => feed.stop());
  return { timers, store, gateways, run, stop };
}

describe('copies after the store has lost its latest changes', () => {
  // Guards against a copy that stays wrong for good: revisions have passed the copy's own again before
  // the next watch, which returns no 410 and a history without what was given out in between.
  it('match the store although it has passed their revision again', async () => {
    const { store, gateways, run, stop } = startFeeds([true], 500);
    await run(100);
    store.takeCopy();
    ['a', 'b', 'c'].forEach((name) => store.put(name, {}));
    // The watch has returned and pauses; the store goes back and on meanwhile.
    await run(100);
    store.restore();
    ['d', 'e', 'f', 'g'].forEach((name) => store.put(name, {}));
    await run(BOUND_MS);
    expect(gateways[0]!.listNames()).toEqual(store.listNames());
    expect(gateways[0]!.countRestorations()).toEqual(1);
    stop();
  });

  it('match the store when it is restored twice in a row', async () => {
    const { store, gateways, run, stop } = startFeeds([true], 300);
    await run(100);
    store.put('a', {});
    store.takeCopy();
    await run(50);
    store.put('b', {});
    await run(50);
    store.restore();
    store.put('c', {});
    store.restore();
    store.put('d', {});
    store.put('e', {});
    await run(BOUND_MS);
    expect(gateways[0]!.listNames()).toEqual(['a', 'd', 'e']);
    stop();
  });

  // Guards against a follower that counts its copy as confirmed by a gateway on the other side of the
  // restoration.
  it('are not confirmed by gateways that have not seen it', async () => {
    const { store, gateways, run, stop } = startFeeds([true, true]);
    const [first, second] = [gateways[0]!, gateways[1]!];
    store.put('a', {});
    await run(100);
    const old: FeedProgress = { ...first.feed.getProgress(0)!, revision: 1_000, ageMs: 0 };
    store.takeCopy();
    store.put('b', {});
    store.restore();
    store.put('c', {});
    await run(BOUND_MS);
    const before = second.feed.getConfirmedMs();
    second.feed.applyProgress({ ...old, changedRevision: 1_000, sinceRevision: 0 });
    expect(second.feed.getConfirmedMs()).toEqual(before);
    await run(BOUND_MS);
    expect(second.listNames()).toEqual(['a', 'c']);
    stop();
  });

  // Guards against a follower that waits for the end of its copy's confirmation although another
  // gateway has told it of a later era.
  it('are checked at once when another gateway tells of a later era', async () => {
    const { store, gateways, run, stop } = startFeeds([true, false]);
    const [watcher, follower] = [gateways[0]!, gateways[1]!];
    store.put('a', {});
    await run(100);
    store.takeCopy();
    store.put('b', {});
    await run(200);
    follower.feed.applyProgress(watcher.feed.getProgress(1_000)!);
    expect(follower.listNames()).toEqual(['a', 'b']);
    store.restore();
    store.put('c', {});
    await run(60);
    follower.feed.applyProgress(watcher.feed.getProgress(1_000)!);
    await run(250);
    expect(follower.listNames()).toEqual(['a', 'c']);
    stop();
  });

  // Guards against one wrong figure in a packet that makes a gateway drop all answers of the store.
  it('follow the store although a gateway tells of an era that never was', async () => {
    const { store, gateways, run, stop } = startFeeds([true, false]);
    const [watcher, follower] = [gateways[0]!, gateways[1]!];
    await run(100);
    const wrong = { ...watcher.feed.getProgress(0)!, era: 1e12 };
    follower.feed.applyProgress(wrong);
    store.put('a', {});
    await run(BOUND_MS);
    expect(follower.listNames()).toEqual(['a']);
    stop();
  });
});
