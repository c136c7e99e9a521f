export { startScaling } from './start-scaling.ts';
export type { ScalingOptions } from './start-scaling.ts';
