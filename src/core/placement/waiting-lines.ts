import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { compareWaiters, findPlace } from './line-order.ts';
import type { PlaceKey, Waiter, WaitingRank } from './types.ts';
import { WaitEnd } from './types.ts';

/** Requests of this gateway that wait for a place, in one line for each key. */
export interface WaitingLines {
  /** Adds a request; the returned function removes it again. */
  add(key: PlaceKey, waiter: Waiter): Unsubscribe;
  /** Counts the requests that are served before one with these properties. */
  countAhead(key: PlaceKey, waiter: WaitingRank): number;
  /** Lists the requests that wait, in the order in which they are served. */
  listWaiting(key: PlaceKey): readonly Waiter[];
  /** Refuses a waiting request in favour of another one. */
  refuse(key: PlaceKey, waiter: Waiter): void;
  /** Starts waiting requests now, for example because a place became free. */
  serve(key: PlaceKey): void;
  countWaiting(): number;
}

/** Interval at which the lines are checked for new places and for requests whose time is up. */
const CHECK_PERIOD_MS = 15;
/** Requests of a line that may find no place before the rest of the line is skipped. */
const MAX_FAILED_STARTS = 3;

/** Creates empty lines; a timer runs only while a request waits. */
export function createWaitingLines(
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>,
): WaitingLines {
  const lines = new Map<PlaceKey, Waiter[]>();
  let stopChecks: Unsubscribe | undefined;

  const countWaiting = (): number => [...lines.values()].reduce((sum, one) => sum + one.length, 0);

  const remove = (key: PlaceKey, waiter: Waiter): void => {
    const line = lines.get(key) ?? [];
    const firstEqual = findPlace(line, (one) => compareWaiters(one, waiter) >= 0);
    const place = line.indexOf(waiter, firstEqual);
    if (place >= 0) line.splice(place, 1);
    if (line.length === 0) lines.delete(key);
    if (lines.size > 0) return;
    stopChecks?.();
    stopChecks = undefined;
  };

  const serve = (key: PlaceKey): void => {
    let failedStarts = 0;
    for (const waiter of [...(lines.get(key) ?? [])]) {
      if (waiter.tryStart()) remove(key, waiter);
      else failedStarts++;
      if (failedStarts >= MAX_FAILED_STARTS) return;
    }
  };

  const check = (): void => {
    const now = timers.getMonotonicMs();
    for (const key of [...lines.keys()]) {
      serve(key);
      for (const waiter of [...(lines.get(key) ?? [])]) {
        if (now < waiter.giveUpMs) continue;
        remove(key, waiter);
        waiter.giveUp(WaitEnd.TimeIsUp);
      }
    }
  };

  return {
    add(key, waiter) {
      const line = lines.get(key) ?? [];
      lines.set(key, line);
      line.splice(
        findPlace(line, (one) => compareWaiters(one, waiter) > 0),
        0,
        waiter,
      );
      stopChecks ??= timers.subscribe(CHECK_PERIOD_MS, check);
      return () => remove(key, waiter);
    },
    countAhead: (key, waiter) =>
      findPlace(lines.get(key) ?? [], (one) => compareWaiters(one, waiter) > 0),
    listWaiting: (key) => lines.get(key) ?? [],
    refuse(key, waiter) {
      remove(key, waiter);
      waiter.giveUp(WaitEnd.Displaced);
    },
    serve,
    countWaiting,
  };
}
