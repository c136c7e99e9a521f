import type { Vm } from '../world/index.ts';

/** An object of the platform's object API. */
export interface PlatformObject {
  kind: string;
  name: string;
  /** Version from one counter of the whole store. */
  version: number;
  /** Id of the write that made this version. */
  writeId: string;
  value: unknown;
}

/** A change that a watch reports. */
export interface PlatformChange extends PlatformObject {
  deleted: boolean;
}

/** Answer of a watch. */
export interface WatchResult {
  /** Version up to which the changes are complete. */
  version: number;
  objects: PlatformChange[];
}

/** A conditional write. */
export interface ObjectWrite {
  kind: string;
  name: string;
  /** Version that the write replaces; 0 creates the object. */
  baseVersion: number;
  /** Unique id of this write; a retry of the same write uses the same id. */
  writeId: string;
  value: unknown;
}

/** A conditional delete. */
export type ObjectDelete = Omit<ObjectWrite, 'value'>;

/** How a conditional write ended. */
export enum WriteOutcome {
  Applied = 'applied',
  /** Another version is in force, and this write did not take effect. */
  Conflict = 'conflict',
}

/** Settled result of a conditional write. */
export interface WriteResult {
  outcome: WriteOutcome;
  /** Version in force after the write. */
  version: number;
  /**
   * The object in force after a conflict, undefined when it does not exist, or the object that
   * settled a lost answer. A later write may have made it.
   */
  current?: PlatformObject | undefined;
}

/** Client of the object API and the VM list; calls fail with `PlatformUnavailable` in outages. */
export interface PlatformClient {
  fetchObject(kind: string, name: string): Promise<PlatformObject | undefined>;
  listObjects(kind: string): Promise<PlatformObject[]>;
  /**
   * Writes an object and settles a lost answer by reading back. Fails with `WriteUndecided` when
   * the write could not be settled before the deadline.
   */
  writeObject(write: ObjectWrite): Promise<WriteResult>;
  deleteObject(write: ObjectDelete): Promise<WriteResult>;
  /** Waits for changes of a kind after a version. */
  watchKind(
    kind: string,
    sinceVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult>;
  fetchVms(): Promise<Vm[]>;
  close(): Promise<void>;
}
