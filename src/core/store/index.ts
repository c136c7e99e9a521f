export { createCountedStore } from './count-calls.ts';
export type { StoreCallResult } from './count-calls.ts';
export { StoreFailure, StoreKind } from './types.ts';
export type {
  StoreChanges,
  StoreClient,
  StoreEvent,
  StoreList,
  StoreObject,
  StoreResult,
} from './types.ts';
