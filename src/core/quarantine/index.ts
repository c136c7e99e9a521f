export { createCrashWatch } from './crash-watch.ts';
export type { CrashWatch } from './crash-watch.ts';
export type { LostRequest, TargetCrash } from './types.ts';
