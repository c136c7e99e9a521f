export {
  computeExpectedWaitMs,
  computeMaxInFlight,
  computeRetryAfterMs,
  RefusalCause,
} from './admission.ts';
export { computeBorrowableShare, computeOwnSlots } from './own-places.ts';
export type { Position } from './own-places.ts';
export { createServiceTimes } from './service-times.ts';
export type { ServiceTimes } from './service-times.ts';
export type { PlaceKey, Waiter } from './types.ts';
export { createWaitingLines } from './waiting-lines.ts';
export type { WaitingLines } from './waiting-lines.ts';
export { computeRemainingDemands, createDemandMeter, sumDemands } from './demand.ts';
export { createDemandView } from './demand-view.ts';
export type { Demand, DemandMeter } from './demand.ts';
export { formatPlaceKey, formatRequestKey } from './place-key.ts';
