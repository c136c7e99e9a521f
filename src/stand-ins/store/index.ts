export { createStandInStore } from './create-stand-in-store.ts';
export { StoreFault } from './types.ts';
export type { StandInStore } from './types.ts';
