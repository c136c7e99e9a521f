export type * from './types.ts';
