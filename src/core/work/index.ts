export { computeBusyGroups } from './compute-busy-groups.ts';
export type { ModelDemand } from './types.ts';
