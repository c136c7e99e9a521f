import type { PlatformChange, PlatformClient } from '../object-api/index.ts';

/** Shortest watch timeout: the platform returns the changes so far without waiting for more. */
const COLLECT_TIMEOUT_MS = 1;

/** Reads all objects of a kind once, and only the changes after that. */
export interface KindReader {
  /** Passes each change since the last read to the listener. */
  read(): Promise<void>;
  isComplete(): boolean;
}

/** Creates a reader; the listener receives each change once, in the order of the platform. */
export function createKindReader(
  platform: PlatformClient,
  kind: string,
  listener: (change: PlatformChange) => void,
): KindReader {
  let version: number | undefined;

  const readAll = async (): Promise<void> => {
    const objects = await platform.listObjects(kind);
    objects.forEach((object) => listener({ ...object, deleted: false }));
    version = Math.max(0, ...objects.map((object) => object.version));
  };

  const readChanges = async (sinceVersion: number): Promise<void> => {
    const result = await platform.watchKind(kind, sinceVersion, COLLECT_TIMEOUT_MS);
    result.objects.forEach(listener);
    version = Math.max(sinceVersion, result.version);
  };

  return {
    read: () => (version === undefined ? readAll() : readChanges(version)),
    isComplete: () => version !== undefined,
  };
}
