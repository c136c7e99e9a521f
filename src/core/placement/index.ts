export {
  computeExpectedWaitMs,
  computeMaxInFlight,
  computeRetryAfterMs,
  RefusalCause,
} from './admission.ts';
export { planArrival } from './displacement.ts';
export { computeBorrowEveryMs, createBorrowing } from './borrowing.ts';
export type { FreeSlots } from './borrowing.ts';
export { computeBorrowableShare, computeOwnSlots } from './own-places.ts';
export type { Position } from './own-places.ts';
export { createPlacementState } from './placement-state.ts';
export type { PlacementState } from './placement-state.ts';
export { createServiceTimes } from './service-times.ts';
export type { ServiceTimes } from './service-times.ts';
export type { PlaceKey, RequestClass, Waiter, WaitingLoad } from './types.ts';
export { WaitEnd } from './types.ts';
export { createWaitingLines } from './waiting-lines.ts';
export type { WaitingLines } from './waiting-lines.ts';
export { computeRemainingDemands, createDemandMeter, sumDemands } from './demand.ts';
export { createDemandView } from './demand-view.ts';
export type { Demand, DemandMeter } from './demand.ts';
export { formatPlaceKey, formatRequestKey } from './place-key.ts';
