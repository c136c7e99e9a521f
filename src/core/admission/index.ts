export {
  createAdmission,
  MAX_QUEUED_PER_FLOW,
  MAX_QUEUED_REQUESTS,
  QUEUE_DEADLINE_MS,
} from './admission.ts';
export { createFairQueue } from './fair-queue.ts';
export { createTokenBucket } from './token-bucket.ts';
export type { TokenBucket } from './token-bucket.ts';
export * from './types.ts';
export { createPlacementSource } from './placement-source.ts';
export type {
  PlacementSourceRequest,
  PlacementSourceResult,
  PlacementSource,
  PlacementSourceOptions,
} from './placement-source.ts';
