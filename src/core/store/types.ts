/** Kinds of objects in the store. */
export enum StoreKind {
  Configuration = 'configuration',
  /** Zones that operators have taken out; the name is the zone. */
  Evacuations = 'evacuations',
  /** One entry for each target, written by the target. */
  Targets = 'targets',
  /** Our own: the gateways, so that they find each other. */
  Gateways = 'gateways',
  /** Our own: who holds a duty. */
  Duties = 'duties',
}

/** One object of the store. */
export interface StoreObject {
  name: string;
  /** Revision of the object's last change; a conditional write names it. */
  revision: number;
  spec: unknown;
  status: unknown;
}

/** All objects of a kind, as of one revision of the store. */
export interface StoreList {
  objects: StoreObject[];
  revision: number;
}

/** A change of one object. */
export interface StoreEvent {
  object: StoreObject;
  isDeleted: boolean;
}

/** Changes since a revision; `revision` is where to continue. */
export interface StoreChanges {
  events: StoreEvent[];
  revision: number;
}

/** How a call to the store ended without a result. */
export enum StoreFailure {
  /** The store did nothing: it refused the call, or no connection could be made. */
  NotDone = 'not-done',
  /** No answer came; the call may have been carried out, or may be later. */
  Unknown = 'unknown',
  /** The condition of a write did not hold, or the object exists already. */
  Conflict = 'conflict',
  NotFound = 'not-found',
  /** The history since the revision is gone; the kind has to be listed again. */
  HistoryGone = 'history-gone',
}

/** Result of a call: a value, or how it failed. */
export type StoreResult<Value> =
  { kind: 'ok'; value: Value } | { kind: StoreFailure; problem: string };

/** Calls to the store. */
export interface StoreClient {
  listObjects(kind: StoreKind): Promise<StoreResult<StoreList>>;
  watchObjects(
    kind: StoreKind,
    sinceRevision: number,
    waitMs: number,
  ): Promise<StoreResult<StoreChanges>>;
  fetchObject(kind: StoreKind, name: string): Promise<StoreResult<StoreObject>>;
  createObject(kind: StoreKind, name: string, spec: unknown): Promise<StoreResult<StoreObject>>;
  /** Replaces the `spec` of an object if it still has the revision. */
  replaceObject(
    kind: StoreKind,
    name: string,
    revision: number,
    spec: unknown,
  ): Promise<StoreResult<StoreObject>>;
  deleteObject(kind: StoreKind, name: string): Promise<StoreResult<undefined>>;
  close(): Promise<void>;
}
