export { startFormation } from './start-formation.ts';
export type { Formation } from './start-formation.ts';
export { OrderResult } from './types.ts';
export type { EngineControl, EngineOrder, EngineState } from './types.ts';
export { headLocationSchema } from './head-registry.ts';
export type { HeadLocation } from './head-registry.ts';
