import type { PlatformChange, PlatformClient } from '../platform/index.ts';

/** A watch that only collects what changed answers as soon as the platform has looked. */
const COLLECT_TIMEOUT_MS = 1;

/** Reads all objects of a kind once, and then only what changed. */
export interface KindReader {
  /** Reports each object that is new since the last read. */
  read(): Promise<void>;
  isComplete(): boolean;
}

/** Creates a reader; the listener gets each change once, in the order of the platform. */
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
