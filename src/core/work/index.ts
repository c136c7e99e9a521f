export { computeBusyGroups } from './compute-busy-groups.ts';
export { createWorkEstimates } from './work-estimates.ts';
export type { WorkEstimates } from './work-estimates.ts';
export type { ModelDemand, RequestSizes, Work, WorkInput } from './types.ts';
