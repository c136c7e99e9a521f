import type { Feed } from '../store-feed/index.ts';
import type { StoreKind } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Age of a gateway's copy of the objects of one kind. */
export interface CopyAge {
  kind: StoreKind;
  /** Time since the copy is known to have matched the store, in milliseconds. */
  ageMs: number;
}

/** What is known of how current the copies of the store are. */
export interface StoreCopies {
  /** Lists the ages of the copies that have been listed at least once. */
  listAges(): CopyAge[];
  /**
   * Whether a copy matched the store within the last `boundMs`; a change that must be known by now is
   * then in it.
   */
  isCurrent(kind: StoreKind, boundMs: number): boolean;
}

/** Creates the view of the feeds' ages; feeds that are added later are seen too. */
export function createStoreCopies(
  feeds: ReadonlyMap<StoreKind, Pick<Feed, 'getConfirmedMs'>>,
  timers: Pick<TimerService, 'getMonotonicMs'>,
): StoreCopies {
  const getAgeMs = (kind: StoreKind): number => {
    const confirmedMs = feeds.get(kind)?.getConfirmedMs();
    return confirmedMs === undefined ? Infinity : timers.getMonotonicMs() - confirmedMs;
  };
  return {
    listAges: () =>
      [...feeds.keys()]
        .map((kind) => ({ kind, ageMs: getAgeMs(kind) }))
        .filter(({ ageMs }) => ageMs < Infinity),
    isCurrent: (kind, boundMs) => getAgeMs(kind) <= boundMs,
  };
}
