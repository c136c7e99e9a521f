import type {
  ObjectDelete,
  ObjectWrite,
  PlatformChange,
  PlatformObject,
  WriteResult,
} from '../../core/object-api/index.ts';

/** In-memory store of versioned objects. */
export interface ObjectStore {
  /** Returns the version of the newest write to any object; 0 if there is none. */
  getVersion(): number;
  getObject(kind: string, name: string): PlatformObject | undefined;
  listObjects(kind: string): PlatformObject[];
  /** Returns the latest change of each object of a kind that changed after `sinceVersion`. */
  listChanges(kind: string, sinceVersion: number): PlatformChange[];
  writeObject(write: ObjectWrite): WriteResult;
  deleteObject(write: ObjectDelete): WriteResult;
  /** Calls the listener after each applied write; returns a function that unsubscribes it. */
  subscribe(listener: (change: PlatformChange) => void): () => void;
}

/** Faults that tests and demos set through `POST /faults`. */
export interface PlatformFaults {
  /** Closes the connection of each call without a response. */
  down: boolean;
  /** Delay before each call is handled. */
  delayMs: number;
  /** Number of next writes that are applied but get no response: the connection closes. */
  loseWriteAnswers: number;
  /** Number of next writes that get no response and are applied after `lateWriteMs`. */
  lateWrites: number;
  lateWriteMs: number;
  /** Age of the VM list that callers get. */
  vmListLagMs: number;
}

/** Calls since the start; a waiting watch counts as one call. */
export interface PlatformCounters {
  reads: number;
  writes: number;
  /** Writes refused because of a stale base version. */
  conflicts: number;
  watches: number;
  /** Watches that are waiting for a change now. */
  waitingWatches: number;
  vmLists: number;
  /** Calls that got no response because of a fault. */
  unanswered: number;
}
