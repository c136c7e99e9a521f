export { createInFlight } from './in-flight.ts';
export type { InFlight } from './in-flight.ts';
export { computeReportWeight, computeRequests, hasRoom, LOAD_REPORT_LIFETIME_MS } from './load.ts';
export { createPlacer } from './placer.ts';
export type { Placement, Placer, PlacerOptions, PlacementRequest, Reservation } from './placer.ts';
export { selectTarget } from './select-target.ts';
export * from './types.ts';
