import type { ObjectChange, StoreKind, StoreObject } from '../store/index.ts';

/** Receives the objects of one kind and their changes in the order of the store's revisions. */
export interface FeedListener {
  /** Called with all objects of the kind after a listing; objects not listed no longer exist. */
  handleList(objects: readonly StoreObject[]): void;
  handleObject(object: StoreObject): void;
  handleDelete(object: StoreObject): void;
  /** Called when the store responds again after an outage, before later changes are reported. */
  handleOutageEnd?(): void;
  /** Called before the first listing since the store came back from an older copy. */
  handleRestoration?(): void;
}

/** A change, with the store revision of the read that returned it. */
export interface FeedChange extends ObjectChange {
  readRevision: number;
}

/**
 * State of a copy of one kind with its recent changes; another process can update its own copy from
 * it. On the wire it is a `StoreProgress` message.
 */
export interface FeedProgress {
  kind: StoreKind;
  /** Era of the store to which the revisions belong; 0 if it names none. */
  era: number;
  /** Store revision that the copy corresponds to. */
  revision: number;
  /** Store revision of the last read that returned changes of the kind. */
  changedRevision: number;
  /** Time since the copy was last known to match the store. */
  ageMs: number;
  /** `changes` holds every change after this revision; an older copy must read the store. */
  sinceRevision: number;
  changes: FeedChange[];
}

/** Keeps a copy of one kind of objects up to date. */
export interface Feed {
  /**
   * Returns the monotonic time at which the copy was last confirmed, which means last known to match
   * the store; undefined before the first listing.
   */
  getConfirmedMs(): number | undefined;
  /** Returns the progress with changes of the last `recentMs`; undefined before a first listing. */
  getProgress(recentMs: number): FeedProgress | undefined;
  /**
   * Applies changes that another process has read from the store, unless some are missing. The
   * progress is older by `delayMs` than it says, as its packet was under way.
   */
  applyProgress(progress: FeedProgress, delayMs?: number): void;
  stop(): void;
}
