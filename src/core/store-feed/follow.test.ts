import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import type { ObjectChange } from '../store/index.ts';
import { createEraTracker, StoreFailure, StoreKind } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { startFeed } from './create-feed.ts';
import { computeFeedTiming } from './timing.ts';
import type { Feed } from './types.ts';

/** Time within which a leaving target or a configuration must be known. */
const BOUND_MS = 2_000;
const RECENT_MS = 300;
const PACKET_PERIOD_MS = 120;
const START_MS = 200;

interface TestFeed {
  feed: Feed;
  seen: string[];
  countCalls(): number;
}

/** Starts a fake store with one kind, a watcher, and a follower that gets its progress. */
function startSession() {
  const timers = createManualTimers();
  const events: { event: ObjectChange; revision: number }[] = [];
  let revision = 1;
  let isSilent = false;
  let isDelivering = true;

  const startTestFeed = (isWatcher: boolean): TestFeed => {
    const seen: string[] = [];
    let calls = 0;
    const feed = startFeed({
      kind: StoreKind.Targets,
      timers,
      logger: createLogger('test'),
      errorReporter: createErrorReporter(() => undefined),
      timing: computeFeedTiming(BOUND_MS),
      eras: createEraTracker(createLogger('test')),
      isListedStale: false,
      getPauseMs: () => 0,
      isWatcher: () => isWatcher,
      listener: {
        handleList: () => seen.push('list'),
        handleObject: ({ name }) => seen.push(name),
        handleDelete: ({ name }) => seen.push(`without ${name}`),
      },
      store: {
        async listObjects() {
          calls++;
          return { kind: 'ok', value: { objects: [], revision } };
        },
        async watchObjects(_kind, since, waitMs) {
          calls++;
          const endMs = timers.getMonotonicMs() + waitMs;
          const hasChanges = (): boolean => !isSilent && revision > since;
          while (!hasChanges() && timers.getMonotonicMs() < endMs) await timers.waitFor(10);
          if (isSilent) return { kind: StoreFailure.OutcomeUnknown, problem: 'no answer in time' };
          const newEvents = events.filter((one) => one.revision > since).map(({ event }) => event);
          return { kind: 'ok', value: { events: newEvents, revision } };
        },
      },
    });
    return { feed, seen, countCalls: () => calls };
  };

  const watcher = startTestFeed(true);
  const follower = startTestFeed(false);
  timers.subscribe(PACKET_PERIOD_MS, () => {
    const progress = watcher.feed.getProgress(RECENT_MS);
    if (isDelivering && progress !== undefined) follower.feed.applyProgress(progress);
  });

  return {
    timers,
    watcher,
    follower,
    addChange(name: string, isDeleted = false): void {
      revision++;
      const object = { name, revision, spec: {}, status: undefined };
      events.push({ event: { object, isDeleted }, revision });
    },
    setSilent: (value: boolean) => {
      isSilent = value;
    },
    setDelivering: (value: boolean) => {
      isDelivering = value;
    },
    stop() {
      watcher.feed.stop();
      follower.feed.stop();
    },
  };
}

describe('feed that follows a watcher', () => {
  // Guards against store calls by every gateway: with 85 gateways they reduced the `worth` score of
  // the benchmark by 0.17.
  it('applies changes in order without calls of its own', async () => {
    const session = startSession();
    await session.timers.runForAsync(START_MS);
    const before = session.follower.countCalls();
    session.addChange('a');
    await session.timers.runForAsync(400);
    session.addChange('b');
    session.addChange('a', true);
    await session.timers.runForAsync(4_000);
    expect(session.follower.seen).toEqual(['list', 'a', 'b', 'without a']);
    // One watch may have started before the watcher's first progress arrived.
    expect(session.follower.countCalls() - before <= 1).toEqual(true);
    session.stop();
  });

  // Guards against missing changes whose packets were lost.
  it('reads the changes itself when packets were lost', async () => {
    const session = startSession();
    await session.timers.runForAsync(2_500);
    session.setDelivering(false);
    session.addChange('a');
    await session.timers.runForAsync(700);
    session.setDelivering(true);
    session.addChange('b');
    await session.timers.runForAsync(500);
    expect(session.follower.seen).toEqual(['list', 'a', 'b']);
    session.stop();
  });

  // Guards against a copy that nobody confirms: a leaving target must be known within 2 s.
  it('watches the store itself when its watcher sends nothing', async () => {
    const session = startSession();
    await session.timers.runForAsync(2_500);
    session.setDelivering(false);
    session.addChange('a');
    await session.timers.runForAsync(1_800);
    expect(session.follower.seen).toEqual(['list', 'a']);
    session.stop();
  });

  // Guards against a copy that counts as confirmed by packets that have waited for seconds.
  it('counts the delay of the packets as age of its copy', async () => {
    const { timers, watcher, follower, addChange, setDelivering, stop } = startSession();
    const delayMs = 1_500;
    await timers.runForAsync(START_MS);
    setDelivering(false);
    timers.subscribe(PACKET_PERIOD_MS, () => {
      const late = watcher.feed.getProgress(RECENT_MS);
      if (late === undefined) return;
      timers.scheduleOnce(delayMs, () => follower.feed.applyProgress(late, delayMs));
    });
    await timers.runForAsync(4_000);
    addChange('a');
    await timers.runForAsync(1_000);
    expect(follower.seen).toEqual(['list', 'a']);
    stop();
  });

  // Guards against a follower whose copy looks fresh while its watcher gets no responses.
  it('does not confirm its copy while the store does not respond to the watcher', async () => {
    const session = startSession();
    await session.timers.runForAsync(2_500);
    session.setSilent(true);
    await session.timers.runForAsync(3_000);
    const ageMs = session.timers.getMonotonicMs() - (session.follower.feed.getConfirmedMs() ?? 0);
    expect(ageMs > 2_000).toEqual(true);
    session.stop();
  });
});
