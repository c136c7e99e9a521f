import type { StoreClient, StoreKind, StoreResult } from './types.ts';

/** Result of one call to the store, for metrics. */
export interface StoreCallResult {
  operation: string;
  kind: StoreKind;
  /** `ok`, or a `StoreFailure`. */
  result: string;
}

/**
 * Wraps a client so that `recordCall` is called with the result of each call, and `observeEra` with
 * the era of each answer before its caller gets it.
 */
export function createInstrumentedStore(
  store: StoreClient,
  recordCall: (call: StoreCallResult) => void,
  observeEra: (era: number | undefined) => void,
): StoreClient {
  const awaitAndRecord = async <Value>(
    operation: string,
    kind: StoreKind,
    call: Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> => {
    const result = await call;
    recordCall({ operation, kind, result: result.kind });
    observeEra(result.era);
    return result;
  };
  return {
    listObjects: (kind, consistency) =>
      awaitAndRecord('list', kind, store.listObjects(kind, consistency)),
    watchObjects: (kind, since, waitMs) =>
      awaitAndRecord('watch', kind, store.watchObjects(kind, since, waitMs)),
    fetchObject: (kind, name) => awaitAndRecord('fetch', kind, store.fetchObject(kind, name)),
    createObject: (kind, name, spec) =>
      awaitAndRecord('create', kind, store.createObject(kind, name, spec)),
    replaceObject: (kind, name, revision, spec) =>
      awaitAndRecord('replace', kind, store.replaceObject(kind, name, revision, spec)),
    deleteObject: (kind, name) => awaitAndRecord('delete', kind, store.deleteObject(kind, name)),
    close: () => store.close(),
  };
}
