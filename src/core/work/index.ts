export { createWorkEstimates } from './work-estimates.ts';
export type { WorkEstimates } from './work-estimates.ts';
export type { RequestSizes, Work, WorkInput } from './types.ts';
