import type { Vm } from '../domain-types/index.ts';

/** An object in the object API of the platform. */
export interface PlatformObject {
  kind: string;
  name: string;
  /** Version from a counter that all objects of the platform share. */
  version: number;
  /** Id of the write that created this version. */
  writeId: string;
  value: unknown;
}

/** A change that a watch reports. */
export interface PlatformChange extends PlatformObject {
  deleted: boolean;
}

/** Result of a watch. */
export interface WatchResult {
  /** Version up to which all changes are included; the next watch starts from it. */
  version: number;
  objects: PlatformChange[];
}

/** A conditional write: it takes effect only if the base version is current. */
export interface ObjectWrite {
  kind: string;
  name: string;
  /** Version that the write replaces; 0 creates the object. */
  baseVersion: number;
  /** Unique id of this write; a retry of the same write uses the same id. */
  writeId: string;
  value: unknown;
}

/** A conditional delete; takes effect only if the base version is current. */
export type ObjectDelete = Omit<ObjectWrite, 'value'>;

/** Outcome of a conditional write. */
export enum WriteOutcome {
  Applied = 'applied',
  /** The base version is not current, and this write did not take effect. */
  Conflict = 'conflict',
}

/** Result of a settled conditional write. */
export interface WriteResult {
  outcome: WriteOutcome;
  /** Current version after the write. */
  version: number;
  /**
   * The current object after a conflict, undefined if it does not exist, or the object that was
   * read to settle a lost response. A later write may have created it.
   */
  current?: PlatformObject | undefined;
}

/** Client for the object API and the VM list; calls fail with `PlatformUnavailable` in outages. */
export interface PlatformClient {
  /** Returns an object, or undefined if it does not exist. */
  fetchObject(kind: string, name: string): Promise<PlatformObject | undefined>;
  listObjects(kind: string): Promise<PlatformObject[]>;
  /**
   * Writes an object; settles a lost response by reading the object back. Fails with
   * `WriteUndecided` if the write could not be settled before the deadline.
   */
  writeObject(write: ObjectWrite): Promise<WriteResult>;
  /** Deletes an object; settles lost responses like `writeObject`. */
  deleteObject(write: ObjectDelete): Promise<WriteResult>;
  /** Waits up to `timeoutMs` for changes to objects of a kind after a version. */
  watchKind(
    kind: string,
    sinceVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult>;
  fetchVms(): Promise<Vm[]>;
  close(): Promise<void>;
}
