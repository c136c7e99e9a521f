import type { StoreClient, StoreKind, StoreResult } from './types.ts';

/** Result of one call to the store, for metrics. */
export interface StoreCallResult {
  operation: string;
  kind: StoreKind;
  /** `ok`, or a `StoreFailure`. */
  result: string;
}

/** Wraps a client so that `record` is called with the result of each call. */
export function createCountedStore(
  store: StoreClient,
  record: (call: StoreCallResult) => void,
): StoreClient {
  const report = async <Value>(
    operation: string,
    kind: StoreKind,
    call: Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> => {
    const result = await call;
    record({ operation, kind, result: result.kind });
    return result;
  };
  return {
    listObjects: (kind) => report('list', kind, store.listObjects(kind)),
    watchObjects: (kind, since, waitMs) =>
      report('watch', kind, store.watchObjects(kind, since, waitMs)),
    fetchObject: (kind, name) => report('fetch', kind, store.fetchObject(kind, name)),
    createObject: (kind, name, spec) =>
      report('create', kind, store.createObject(kind, name, spec)),
    replaceObject: (kind, name, revision, spec) =>
      report('replace', kind, store.replaceObject(kind, name, revision, spec)),
    deleteObject: (kind, name) => report('delete', kind, store.deleteObject(kind, name)),
    close: () => store.close(),
  };
}
