import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import type { StoreChanges, StoreList, StoreObject, StoreResult } from '../store/index.ts';
import { createEraTracker, StoreFailure, StoreKind } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { startFeed } from './create-feed.ts';
import { computeFeedTiming } from './timing.ts';

/** Time beyond the wait of a watch after which a call of the fake client times out. */
const TIMEOUT_MARGIN_MS = 700;
const BOUND_MS = 5_000;

/** Whether the fake store responds, ignores calls or has lost its history. */
enum StoreMode {
  Serving = 'serving',
  Silent = 'silent',
  HistoryGone = 'history-gone',
}

function createObject(name: string, revision: number): StoreObject {
  return { name, revision, spec: {}, status: null };
}

/** Starts a feed on a fake store whose mode the test sets. */
function startTestFeed() {
  const timers = createManualTimers();
  const seen: string[] = [];
  const objects: StoreObject[] = [];
  let revision = 1;
  let mode = StoreMode.Serving;

  const timeOut = async <Value>(waitMs: number): Promise<StoreResult<Value>> => {
    await timers.waitFor(waitMs + TIMEOUT_MARGIN_MS);
    return { kind: StoreFailure.OutcomeUnknown, problem: 'no answer in time' };
  };

  const feed = startFeed({
    kind: StoreKind.Configuration,
    timers,
    logger: createLogger('test'),
    errorReporter: createErrorReporter(() => undefined),
    timing: computeFeedTiming(BOUND_MS),
    eras: createEraTracker(createLogger('test')),
    isListedStale: false,
    isWatcher: () => true,
    getPauseMs: () => 0,
    listener: {
      handleList: (list) => seen.push(`list ${list.map(({ name }) => name).join(' ')}`),
      handleObject: ({ name }) => seen.push(name),
      handleDelete: ({ name }) => seen.push(`without ${name}`),
      handleOutageEnd: () => seen.push('outage over'),
    },
    store: {
      listObjects: async (): Promise<StoreResult<StoreList>> =>
        mode === StoreMode.Silent
          ? timeOut(0)
          : { kind: 'ok', value: { objects: [...objects], revision } },
      async watchObjects(_kind, since, waitMs): Promise<StoreResult<StoreChanges>> {
        if (mode === StoreMode.Silent) return timeOut(waitMs);
        if (mode === StoreMode.HistoryGone) {
          mode = StoreMode.Serving;
          return { kind: StoreFailure.HistoryGone, problem: 'status 410' };
        }
        const endMs = timers.getMonotonicMs() + waitMs;
        while (revision <= since && timers.getMonotonicMs() < endMs) await timers.waitFor(10);
        const events = objects
          .filter((object) => object.revision > since)
          .map((object) => ({ object, isDeleted: false }));
        return { kind: 'ok', value: { events, revision } };
      },
    },
  });
  return {
    timers,
    seen,
    feed,
    setMode: (value: StoreMode) => {
      mode = value;
    },
    addObject: (name: string) => {
      revision++;
      objects.push(createObject(name, revision));
    },
  };
}

describe('feed', () => {
  it('reports a change while it watches', async () => {
    const { timers, seen, feed, addObject } = startTestFeed();
    await timers.runForAsync(100);
    addObject('a');
    await timers.runForAsync(100);
    expect(seen).toEqual(['list ', 'a']);
    feed.stop();
  });

  it('lists again when the history is gone', async () => {
    const { timers, seen, feed, addObject, setMode } = startTestFeed();
    await timers.runForAsync(100);
    setMode(StoreMode.HistoryGone);
    addObject('a');
    await timers.runForAsync(3_000);
    expect(seen.at(-1)).toEqual('list a');
    feed.stop();
  });

  // Guards against a call that is sent just before the store recovers, gets no response and waits
  // for its full timeout: a configuration was in force only 2.5 s after its acknowledgement (CONFIG
  // on rodopi-wax trouble-3).
  for (const outageMs of [7_000, 7_400, 7_800, 8_000, 8_200, 8_600]) {
    it(`reports a change within 1.5 s of recovery after an outage of ${outageMs} ms`, async () => {
      const { timers, seen, feed, addObject, setMode } = startTestFeed();
      await timers.runForAsync(100);
      setMode(StoreMode.Silent);
      await timers.runForAsync(outageMs);
      setMode(StoreMode.Serving);
      addObject('a');
      await timers.runForAsync(1_500);
      expect(seen).toEqual(['list ', 'outage over', 'a']);
      feed.stop();
    });
  }
});
