export { createQuarantine, QuarantineChange } from './create-quarantine.ts';
export type { PromptGuard, Quarantine } from './create-quarantine.ts';
export type { QuarantineEntry } from './quarantine-list.ts';
export { NO_EVIDENCE } from './types.ts';
export type { PartKey, PromptEvidence, QuarantineNotice, TargetCrash } from './types.ts';
