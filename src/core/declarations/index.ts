export * from './consts.ts';
export * from './schema.ts';
export type * from './types.ts';
