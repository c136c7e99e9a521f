export * from './types.ts';
