export * from './apply.ts';
export * from './configuration.ts';
export * from './consts.ts';
export * from './diff.ts';
export {
  checkDeclarationSize,
  parseDeclaration,
  parseDeclarationFile,
  type DeclarationFile,
} from './parse.ts';
export * from './rows.ts';
export * from './schema.ts';
export type * from './types.ts';
export * from './zone-state.ts';
