export * from './consts.ts';
export * from './types.ts';
