export { startFormation } from './create-formation.ts';
export type { Formation } from './create-formation.ts';
export { OrderResult } from './types.ts';
export type { EngineControl, EngineOrder, EngineReport } from './types.ts';
export { headNoteSchema } from './head-book.ts';
