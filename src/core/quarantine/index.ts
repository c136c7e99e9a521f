export { createQuarantine } from './create-quarantine.ts';
export type { Quarantine } from './create-quarantine.ts';
export type { QuarantineEntry } from './quarantine-list.ts';
export { NO_EVIDENCE, QuarantineChange } from './types.ts';
export type {
  PartKey,
  PromptEvidence,
  PromptGuard,
  QuarantineNotice,
  TargetCrash,
} from './types.ts';
