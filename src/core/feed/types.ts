import type { StoreEvent, StoreKind, StoreObject } from '../store/index.ts';

/** Receives the objects of one kind, in the order of the store's revisions. */
export interface FeedListener {
  /** All objects of the kind, after a listing. */
  handleList(objects: readonly StoreObject[]): void;
  handleObject(object: StoreObject): void;
  handleDelete(object: StoreObject): void;
  /** The store answers again after it was away; called before the changes since are reported. */
  handleOutageEnd?(): void;
}

/** A change, with the revision of the store up to which it was read. */
export interface FeedChange extends StoreEvent {
  readRevision: number;
}

/** How far a copy of a kind has come; another process can bring its own copy up to it. */
export interface FeedProgress {
  kind: StoreKind;
  /** Revision of the store that the copy stands for. */
  revision: number;
  /** Revision of the store up to which the kind has changed last. */
  changedRevision: number;
  /** Time since the store confirmed the copy. */
  ageMs: number;
  /** The changes are complete after this revision. */
  sinceRevision: number;
  changes: FeedChange[];
}

/** Keeps one kind of objects up to date. */
export interface Feed {
  /** Monotonic time at which the store last confirmed the copy; undefined before the first list. */
  getConfirmedMs(): number | undefined;
  /** Returns the progress with the changes of the last `recentMs`; undefined before the first list. */
  getProgress(recentMs: number): FeedProgress | undefined;
  /** Takes over what another process has read from the store. */
  applyProgress(progress: FeedProgress): void;
  stop(): void;
}
