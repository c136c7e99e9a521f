import type { ObjectDelete, PlatformChange, PlatformObject } from '../../core/object-api/index.ts';
import { WriteOutcome } from '../../core/object-api/index.ts';
import type { ObjectStore } from './types.ts';

function toObject({ kind, name, version, writeId, value }: PlatformChange): PlatformObject {
  return { kind, name, version, writeId, value };
}

/** Creates an empty object store with one version counter for all objects. */
export function createObjectStore(): ObjectStore {
  // Deleted objects are kept as tombstones, so that a watch can report the deletion.
  const changes = new Map<string, PlatformChange>();
  const listeners = new Set<(change: PlatformChange) => void>();
  let storeVersion = 0;

  const getObject: ObjectStore['getObject'] = (kind, name) => {
    const change = changes.get(`${kind}/${name}`);
    return change === undefined || change.deleted ? undefined : toObject(change);
  };

  const listChanges: ObjectStore['listChanges'] = (kind, sinceVersion) =>
    [...changes.values()]
      .filter((change) => change.kind === kind && change.version > sinceVersion)
      .sort((left, right) => left.version - right.version);

  const applyChange = (
    write: ObjectDelete,
    value: unknown,
    deleted: boolean,
  ): ReturnType<ObjectStore['writeObject']> => {
    const { kind, name, writeId } = write;
    const current = getObject(kind, name);
    const version = current?.version ?? 0;
    if (version !== write.baseVersion || (deleted && current === undefined)) {
      return { outcome: WriteOutcome.Conflict, version, current };
    }
    storeVersion += 1;
    const change: PlatformChange = { kind, name, version: storeVersion, writeId, value, deleted };
    changes.set(`${kind}/${name}`, change);
    listeners.forEach((listener) => listener(change));
    return { outcome: WriteOutcome.Applied, version: storeVersion };
  };

  return {
    getVersion: () => storeVersion,
    getObject,
    listObjects: (kind) =>
      listChanges(kind, 0)
        .filter((change) => !change.deleted)
        .map(toObject),
    listChanges,
    writeObject: (write) => applyChange(write, write.value, false),
    deleteObject: (write) => applyChange(write, null, true),
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
