import type {
  ObjectDelete,
  ObjectWrite,
  PlatformChange,
  PlatformObject,
  WriteResult,
} from '../../core/platform/index.ts';

/** The versioned objects of the stand-in, in memory. */
export interface ObjectStore {
  getVersion(): number;
  getObject(kind: string, name: string): PlatformObject | undefined;
  listObjects(kind: string): PlatformObject[];
  /** Returns the newest change of each object of the kind that changed after the version. */
  listChanges(kind: string, sinceVersion: number): PlatformChange[];
  writeObject(write: ObjectWrite): WriteResult;
  deleteObject(write: ObjectDelete): WriteResult;
  /** Calls the listener after each write that took effect. */
  subscribe(listener: (change: PlatformChange) => void): () => void;
}

/** Faults that tests and demos switch on through `POST /faults`. */
export interface PlatformFaults {
  /** Closes each connection without an answer. */
  down: boolean;
  /** Time before each call is handled. */
  delayMs: number;
  /** Number of next writes that take effect and whose connection closes without an answer. */
  loseWriteAnswers: number;
  /** Number of next writes that get no answer and take effect after `lateWriteMs`. */
  lateWrites: number;
  lateWriteMs: number;
  /** Age of the VM list that callers see. */
  vmListLagMs: number;
}

/** Calls since the start; a waiting watch is one call. */
export interface PlatformCounters {
  reads: number;
  writes: number;
  /** Writes that were refused because of their base version. */
  conflicts: number;
  watches: number;
  waitingWatches: number;
  vmLists: number;
  /** Calls that got no answer because of a fault. */
  unanswered: number;
}
