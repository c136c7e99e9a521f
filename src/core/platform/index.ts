export * from './schemas.ts';
export * from './types.ts';
