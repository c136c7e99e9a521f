export { diffConfigurations } from './diff-configurations.ts';
export { listFindings, listVersionFindings } from './list-findings.ts';
export { DifferenceKind, FindingKind, Severity } from './types.ts';
export type { Difference, Finding } from './types.ts';
