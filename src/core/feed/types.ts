import type { StoreObject } from '../store/index.ts';

/** Receives the objects of one kind, in the order of the store's revisions. */
export interface FeedListener {
  /** All objects of the kind, after a listing. */
  handleList(objects: readonly StoreObject[]): void;
  handleObject(object: StoreObject): void;
  handleDelete(object: StoreObject): void;
  /** The store answers again after it was away; called before the changes since are reported. */
  handleOutageEnd?(): void;
}

/** Keeps one kind of objects up to date. */
export interface Feed {
  /** Monotonic time at which the store last confirmed the copy; undefined before the first list. */
  getConfirmedMs(): number | undefined;
  stop(): void;
}
