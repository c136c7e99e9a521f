export { createDirectory } from './create-directory.ts';
export type { Directory } from './create-directory.ts';
export { DirectoryChoice } from './types.ts';
export type { CallerLocation, DirectoryCandidate, DirectoryResponse } from './types.ts';
