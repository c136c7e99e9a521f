import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import type { ObjectChange, StoreChanges, StoreList, StoreResult } from '../store/index.ts';
import { Consistency, createEraTracker, StoreFailure, StoreKind } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { startFeed } from './create-feed.ts';
import { computeFeedTiming } from './timing.ts';

/** What fails just when the object changes. */
enum Fault {
  None = 'nothing',
  /** The watcher sends no packet and reads nothing any more. */
  WatcherLost = 'the watcher',
  /** The store does not answer the watcher any more; its packets go on. */
  WatcherCut = "the watcher's way to the store",
  /** The watch that waits gets no answer; later calls do. */
  SilentConnection = 'the connection of the watch that waits',
  /** The follower gets no packet any more. */
  PacketsLost = 'the packets to the follower',
}

const CALL_MS = 240;
const CALL_MARGIN_MS = 700;
const PACKET_PERIOD_MS = 250;
const RECENT_MS = 625;
const WARM_UP_MS = 6_000;

/** Starts a watcher and a follower of one kind; an object changes at the same time as the fault. */
function startSession(boundMs: number) {
  const timers = createManualTimers();
  const changes: { event: ObjectChange; revision: number }[] = [];
  let revision = 1;
  let fault = Fault.None;
  let faultMs = Infinity;
  const appliedMs: { watcher?: number; follower?: number } = {};

  const startTestFeed = (name: 'watcher' | 'follower') => {
    const isCut = (): boolean =>
      name === 'watcher' && (fault === Fault.WatcherLost || fault === Fault.WatcherCut);
    const hangCall = async <Value>(waitMs: number): Promise<StoreResult<Value>> => {
      await timers.waitFor(waitMs + CALL_MARGIN_MS);
      return { kind: StoreFailure.OutcomeUnknown, problem: 'no answer in time' };
    };
    return startFeed({
      kind: StoreKind.Configuration,
      timers,
      logger: createLogger('test'),
      errorReporter: createErrorReporter(() => undefined),
      timing: computeFeedTiming(boundMs),
      eras: createEraTracker(createLogger('test')),
      isListedStale: false,
      getPauseMs: () => 0,
      isWatcher: () => name === 'watcher',
      listener: {
        handleList: () => undefined,
        handleObject: () => {
          appliedMs[name] ??= timers.getMonotonicMs();
        },
        handleDelete: () => undefined,
      },
      store: {
        async listObjects(): Promise<StoreResult<StoreList>> {
          return { kind: 'ok', value: { objects: [], revision } };
        },
        async watchObjects(_kind, since, waitMs): Promise<StoreResult<StoreChanges>> {
          const sentMs = timers.getMonotonicMs();
          if (isCut()) return hangCall(waitMs);
          const isSilent = (): boolean =>
            isCut() || (fault === Fault.SilentConnection && sentMs <= faultMs);
          const hasEnded = (): boolean =>
            (revision > since && !isSilent()) || timers.getMonotonicMs() >= sentMs + waitMs;
          while (!hasEnded()) await timers.waitFor(10);
          if (isSilent()) return hangCall(sentMs + waitMs - timers.getMonotonicMs());
          await timers.waitFor(CALL_MS);
          const events = changes.filter((one) => one.revision > since).map(({ event }) => event);
          return { kind: 'ok', value: { events, revision } };
        },
      },
    });
  };

  const watcher = startTestFeed('watcher');
  const follower = startTestFeed('follower');
  timers.subscribe(PACKET_PERIOD_MS, () => {
    const progress = watcher.getProgress(RECENT_MS);
    const isDelivered = fault !== Fault.WatcherLost && fault !== Fault.PacketsLost;
    if (isDelivered && progress !== undefined) follower.applyProgress(progress);
  });
  return {
    timers,
    appliedMs,
    changeObject(changedFault: Fault): void {
      fault = changedFault;
      faultMs = timers.getMonotonicMs();
      revision++;
      const object = { name: 'main', revision, spec: {}, status: undefined };
      changes.push({ event: { object, isDeleted: false }, revision });
    },
    stop() {
      watcher.stop();
      follower.stop();
    },
  };
}

describe('time until a change is known', () => {
  // Guards against a withdrawn key or a leaving target that is used past its bound (CONFIG on
  // rodopi-wax scale-2). The bounds are those of the sites.
  for (const boundMs of [2_000, 3_000, 4_000, 5_000]) {
    for (const fault of Object.values(Fault)) {
      it(`stays below ${boundMs} ms if the change comes as ${fault} fails`, async () => {
        for (let offsetMs = 0; offsetMs < computeFeedTiming(boundMs).waitMs; offsetMs += 100) {
          const { timers, appliedMs, changeObject, stop } = startSession(boundMs);
          await timers.runForAsync(WARM_UP_MS + offsetMs, 10);
          const changedMs = timers.getMonotonicMs();
          changeObject(fault);
          await timers.runForAsync(2 * boundMs, 10);
          expect((appliedMs.follower ?? Infinity) - changedMs < boundMs).toEqual(true);
          const isWatcherJudged = fault !== Fault.WatcherLost && fault !== Fault.WatcherCut;
          if (isWatcherJudged) {
            expect((appliedMs.watcher ?? Infinity) - changedMs < boundMs).toEqual(true);
          }
          stop();
        }
      });
    }
  }

  // Guards against a gateway that uses targets or keys which were gone before it started.
  it('brings a stale list up to date before it is used', async () => {
    const timers = createManualTimers();
    const lists: string[][] = [];
    const gone = { name: 'gone', revision: 3, spec: {}, status: undefined };
    const feed = startFeed({
      kind: StoreKind.Targets,
      timers,
      logger: createLogger('test'),
      errorReporter: createErrorReporter(() => undefined),
      timing: computeFeedTiming(2_000),
      eras: createEraTracker(createLogger('test')),
      isListedStale: true,
      getPauseMs: () => 0,
      isWatcher: () => true,
      listener: {
        handleList: (objects) => lists.push(objects.map(({ name }) => name)),
        handleObject: () => undefined,
        handleDelete: () => undefined,
      },
      store: {
        async listObjects(_kind, consistency) {
          const isStale = consistency === Consistency.Stale;
          return {
            kind: 'ok',
            value: { objects: isStale ? [gone] : [], revision: isStale ? 5 : 9 },
          };
        },
        async watchObjects(_kind, since, waitMs) {
          await timers.waitFor(waitMs);
          const added = { ...gone, name: 'added', revision: 8 };
          const events = [
            { object: gone, isDeleted: true },
            { object: added, isDeleted: false },
          ];
          return { kind: 'ok', value: { events: since < 9 ? events : [], revision: 9 } };
        },
      },
    });
    await timers.runForAsync(500);
    expect(lists).toEqual([['added']]);
    feed.stop();
  });

  // Guards against a store whose changes never end: the list grew with each answer, and a gateway
  // that starts never had one.
  it('gives up a stale list that does not come up to date', async () => {
    const timers = createManualTimers();
    let listed = 0;
    let watches = 0;
    const feed = startFeed({
      kind: StoreKind.Targets,
      timers,
      logger: createLogger('test'),
      errorReporter: createErrorReporter(() => undefined),
      timing: computeFeedTiming(2_000),
      eras: createEraTracker(createLogger('test')),
      isListedStale: true,
      getPauseMs: () => 1_000,
      isWatcher: () => true,
      listener: {
        handleList: (objects) => {
          listed = objects.length;
        },
        handleObject: () => undefined,
        handleDelete: () => undefined,
      },
      store: {
        listObjects: async () => ({ kind: 'ok', value: { objects: [], revision: 1 } }),
        async watchObjects(_kind, since) {
          watches++;
          await timers.waitFor(4);
          const events = Array.from({ length: 500 }, (_, index) => ({
            object: { name: `${watches}-${index}`, revision: since, spec: {}, status: undefined },
            isDeleted: false,
          }));
          return { kind: 'ok', value: { events, revision: since + 1 } };
        },
      },
    });
    await timers.runForAsync(900);
    expect({ listed, wasListed: feed.getConfirmedMs() !== undefined }).toEqual({
      listed: 0,
      wasListed: true,
    });
    feed.stop();
  });
});
