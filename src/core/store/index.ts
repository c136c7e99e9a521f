export { createEraTracker } from './era-tracker.ts';
export type { EraTracker } from './era-tracker.ts';
export { createInstrumentedStore } from './instrumented-store.ts';
export type { StoreCallResult } from './instrumented-store.ts';
export { Consistency, StoreFailure, StoreKind } from './types.ts';
export type {
  StoreChanges,
  StoreClient,
  ObjectChange,
  StoreList,
  StoreObject,
  StoreResult,
} from './types.ts';
