export { createInFlightTracker } from './in-flight.ts';
export type { InFlightTracker } from './in-flight.ts';
export {
  computeReportWeight,
  estimateRequests,
  hasCapacity,
  LOAD_REPORT_LIFETIME_MS,
} from './load.ts';
export { createPlacer } from './placer.ts';
export type { Placement, Placer, PlacerOptions, PlacementRequest, Reservation } from './placer.ts';
export { selectTarget } from './select-target.ts';
export * from './types.ts';
